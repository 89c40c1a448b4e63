"""Reading and validation of TOML files."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from .errors import SettingsError

__all__ = ["read_toml"]

T = TypeVar("T")


def read_toml(path: Path, model: type[T], *, expected: str) -> T:
    """Read a TOML file and validate its content.

    Parameters
    ----------
    path : Path
        File to read.
    model : type
        Type to validate the content against.
    expected : str
        Description of the expected content for the error message.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not valid TOML or does not match `model`.
    """
    try:
        with path.open("rb") as file:
            content = tomllib.load(file)
        return TypeAdapter(model).validate_python(content)
    except (OSError, tomllib.TOMLDecodeError, ValidationError) as error:
        raise SettingsError(
            subject=str(path), found=str(error), expected=expected
        ) from error
