"""Define the records that describe the settings of a program."""

from typing import NamedTuple


class SettingField(NamedTuple):
    """One setting: its name, type, default, unit, bounds and help text."""

    name: str
    kind: type
    default: str | int | float | bool
    unit: str
    minimum: float | None
    maximum: float | None
    help: str


class ProgramFields(NamedTuple):
    """The settings of one program."""

    program: str
    fields: tuple[SettingField, ...]
