"""Operations that only read."""
