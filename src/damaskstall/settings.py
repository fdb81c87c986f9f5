"""Read a program's settings from flags and environment variables."""

# Imported as a module, since sys.stderr may be replaced after this import.
import sys
from collections.abc import Mapping, Sequence
from math import isfinite
from typing import Any, NamedTuple, TypeVar, cast

from damaskstall.errors import SettingsError
from damaskstall.generated.settings import (
    CTL_SETTINGS,
    ENTRY_SETTINGS,
    SCHEDULER_SETTINGS,
)
from damaskstall.setting_fields import ProgramFields, SettingField

PREFIX = "DAMASKSTALL_"
TRUE_WORDS = frozenset({"1", "true", "yes", "on"})
FALSE_WORDS = frozenset({"0", "false", "no", "off"})
USAGE_EXIT_CODE = 2

Value = str | int | float | bool
Settings = TypeVar("Settings", bound=NamedTuple)

KNOWN_NAMES = frozenset(
    field.name
    for program in (ENTRY_SETTINGS, SCHEDULER_SETTINGS, CTL_SETTINGS)
    for field in program.fields
)


def load_settings(
    settings_type: type[Settings],
    program: ProgramFields,
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Settings:
    """Return validated settings.

    Flags override environment variables, and these override defaults. Raises
    SettingsError for an unknown name or an invalid value. A variable that is
    a setting of another program is ignored, since programs of one instance
    share their environment.
    """
    fields = {field.name: field for field in program.fields}
    texts = read_environment(fields, environment)
    texts.update(read_flags(fields, arguments))
    values = {name: parse(fields[name], text) for name, text in texts.items()}
    make = cast(Any, settings_type)
    return cast(Settings, make(**values))


def read_environment(
    fields: Mapping[str, SettingField], environment: Mapping[str, str]
) -> dict[str, str]:
    """Return the text of each setting in the environment by its name.

    Raises SettingsError for a variable that no program has.
    """
    texts = {}
    for variable, text in environment.items():
        if not variable.startswith(PREFIX):
            continue
        name = variable.removeprefix(PREFIX).lower()
        if name in fields:
            texts[name] = text
        elif name not in KNOWN_NAMES:
            raise SettingsError(
                f"The variable {variable} is not a setting of any program."
            )
    return texts


def read_flags(
    fields: Mapping[str, SettingField], arguments: Sequence[str]
) -> dict[str, str]:
    """Return the text of each setting in the flags by its name.

    Raises SettingsError for an unknown flag or a missing value.
    """
    texts = {}
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        flag, equals, text = argument.partition("=")
        name = flag.removeprefix("--").replace("-", "_")
        if not flag.startswith("--") or name not in fields:
            raise SettingsError(
                f"The flag {flag} is not a setting of this program."
            )
        if not equals:
            text = read_flag_value(fields[name], flag, remaining)
        texts[name] = text
    return texts


def read_flag_value(
    field: SettingField, flag: str, remaining: list[str]
) -> str:
    """Remove and return the value that follows a flag.

    A boolean flag without a value means true. Raises SettingsError when the
    value of another one is missing.
    """
    if remaining and not remaining[0].startswith("--"):
        return remaining.pop(0)
    if field.kind is bool:
        return "true"
    raise SettingsError(f"The flag {flag} needs a value.")


def parse(field: SettingField, text: str) -> Value:
    """Return a setting's value; raise SettingsError if it is not valid."""
    try:
        value = convert(field, text)
    except ValueError:
        raise SettingsError(
            f"The setting {field.name} cannot be {text!r}: "
            f"it takes {describe_accepted(field)}."
        ) from None
    if field.kind in (int, float) and not in_bounds(field, float(value)):
        raise SettingsError(
            f"The setting {field.name} cannot be {text}: "
            f"it takes {describe_accepted(field)}."
        )
    return value


def convert(field: SettingField, text: str) -> Value:
    """Return the value of a text in the field's type.

    Raises ValueError when the text is malformed.
    """
    if field.kind is not bool:
        value: Value = field.kind(text)
        return value
    word = text.lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError(text)


def in_bounds(field: SettingField, value: float) -> bool:
    """Return whether a number is finite and within the field's bounds."""
    if not isfinite(value):
        return False
    if field.minimum is not None and value < field.minimum:
        return False
    return field.maximum is None or value <= field.maximum


def describe_accepted(field: SettingField) -> str:
    """Return the type, bounds and unit of a setting's values as text."""
    unit = f" {field.unit}" if field.unit else ""
    if field.minimum is None or field.maximum is None:
        return f"a value of type {field.kind.__name__}{unit}"
    return (
        f"a value of type {field.kind.__name__} "
        f"from {field.minimum:g} to {field.maximum:g}{unit}"
    )


def help_text(program: ProgramFields) -> str:
    """Return the text that ``--help`` prints."""
    lines = [f"Usage: {program.program} [--setting value]...", ""]
    for field in program.fields:
        flag = field.name.replace("_", "-")
        lines.append(f"  --{flag}  {field.help}")
        lines.append(f"      takes {describe_accepted(field)}")
        lines.append(
            f"      default {field.default!r}, "
            f"variable {PREFIX}{field.name.upper()}"
        )
    return "\n".join(lines)


def settings_or_exit(
    settings_type: type[Settings],
    program: ProgramFields,
    arguments: Sequence[str],
    environment: Mapping[str, str],
    required: Sequence[str] = (),
) -> Settings:
    """Return the settings, or exit: with 0 for --help, with 2 on an error."""
    if "--help" in arguments:
        print(help_text(program))
        sys.exit(0)
    try:
        settings = load_settings(
            settings_type, program, arguments, environment
        )
        check_required(settings, required)
    except SettingsError as error:
        print(f"{program.program}: {error}", file=sys.stderr)
        sys.exit(USAGE_EXIT_CODE)
    return settings


def check_required(settings: NamedTuple, required: Sequence[str]) -> None:
    """Raise SettingsError when a required setting is empty."""
    for name in required:
        if not getattr(settings, name):
            raise SettingsError(f"The setting {name} is required.")
