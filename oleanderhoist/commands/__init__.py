"""Operations of the operators' program that change state."""
