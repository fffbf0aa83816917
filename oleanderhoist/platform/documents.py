"""Decodes JSON documents of the platform into validated models."""

from typing import TypeVar

import msgspec

Model = TypeVar("Model", bound=msgspec.Struct)


class DocumentError(ValueError):
    """A document is not valid JSON, or a field of it is missing or wrong."""


def decode(data: bytes, model: type[Model], *, strict: bool = True) -> Model:
    """Decodes a document; unknown fields are ignored.

    Args:
        data: The document.
        model: Type of the result.
        strict: Whether numbers that are written as texts are rejected.

    Raises:
        DocumentError: It is not valid; the text names the field.
    """
    try:
        return msgspec.json.decode(data, type=model, strict=strict)
    except msgspec.ValidationError as error:
        raise DocumentError(str(error)) from error
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise DocumentError(f"not JSON: {error}") from error
