"""Describe the settings that a program takes."""

from typing import NamedTuple


class SettingField(NamedTuple):
    """Describe one setting: its type, default, unit, bounds and help."""

    name: str
    kind: type
    default: str | int | float | bool
    unit: str
    minimum: float | None
    maximum: float | None
    help: str


class ProgramFields(NamedTuple):
    """List the settings of one program."""

    program: str
    fields: tuple[SettingField, ...]
