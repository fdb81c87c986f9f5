"""Validate a declaration and fill in its defaults.

One call reports all problems, each with the path of its field.
"""

from collections.abc import Callable, Iterable
from copy import deepcopy
from json import dumps
from math import isfinite
from re import compile as compile_pattern
from typing import Any

from damaskstall.addresses import parse_address
from damaskstall.errors import FieldProblem, SettingsError, ValidationError
from damaskstall.resources.fields import (
    ADDRESS,
    BOOLEAN,
    DEPTH_LIMIT,
    INTEGER,
    LABEL_LIMIT_CHARACTERS,
    LABELS,
    LABELS_LIMIT,
    LIST,
    NAME,
    NAME_LIMIT_CHARACTERS,
    NUMBER,
    OBJECT,
    OPTIONAL_NAME,
    REQUIRED,
    SPEC_FIELDS,
    WORK_LIMIT_BYTES,
    FieldRule,
)

NAME_PATTERN = compile_pattern(r"[a-z0-9]([a-z0-9._-]*[a-z0-9])?")
ADDRESS_PATTERN = compile_pattern(r"[A-Za-z0-9.:_-]{1,253}:[0-9]{1,5}")
NAME_HELP = (
    f"must be 1 to {NAME_LIMIT_CHARACTERS} characters of a-z, 0-9, '.', '_' "
    "and '-', and begin and end with a letter or digit"
)

PROBLEMS_LIMIT = 100

Problems = list[FieldProblem]
# Returns the value with its defaults; appends a problem for each invalid part.
Check = Callable[[FieldRule, Any, str, Problems], Any]


def validate_resource(kind: str, name: Any, spec: Any) -> dict[str, Any]:
    """Return the spec with its defaults, or raise ValidationError.

    The error lists every invalid field.
    """
    problems: Problems = []
    if kind not in SPEC_FIELDS:
        raise ValidationError(
            (FieldProblem("kind", f"must be one of {', '.join(SPEC_FIELDS)}"),)
        )
    if not is_name(name):
        problems.append(FieldProblem("name", NAME_HELP))
    checked = check_members(SPEC_FIELDS[kind], spec, "spec", problems)
    if not problems:
        problems.extend(UNIQUE_CHECKS.get(kind, no_problems)(checked))
    if problems:
        raise ValidationError(tuple(problems[:PROBLEMS_LIMIT]))
    return checked


def is_name(value: Any) -> bool:
    """Return whether a value is a valid resource name."""
    return (
        isinstance(value, str)
        and len(value) <= NAME_LIMIT_CHARACTERS
        and NAME_PATTERN.fullmatch(value) is not None
    )


def check_members(
    rules: tuple[FieldRule, ...], value: Any, path: str, problems: Problems
) -> dict[str, Any]:
    """Return an object's members with defaults; append any problems."""
    if not isinstance(value, dict):
        problems.append(FieldProblem(path, "must be an object"))
        return {}
    known = {rule.name for rule in rules}
    for name in value:
        if name not in known and len(problems) < PROBLEMS_LIMIT:
            shown = name[:NAME_LIMIT_CHARACTERS]
            problems.append(
                FieldProblem(f"{path}.{shown}", "is not a known field")
            )
    checked = {}
    for rule in rules:
        member_path = f"{path}.{rule.name}"
        if rule.name in value:
            check = CHECKS[rule.kind]
            checked_value = check(
                rule, value[rule.name], member_path, problems
            )
            checked[rule.name] = checked_value
        elif rule.default is REQUIRED:
            problems.append(FieldProblem(member_path, "is required"))
        else:
            checked[rule.name] = default_of(rule)
    return checked


def default_of(rule: FieldRule) -> Any:
    """Return a new copy of a field's default."""
    if rule.kind == LIST:
        return []
    return deepcopy(rule.default)


def check_boolean(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept true and false."""
    if not isinstance(value, bool):
        problems.append(FieldProblem(path, "must be true or false"))
    return value


def check_number(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept a finite number or an integer within the field's bounds."""
    kinds = (int,) if rule.kind == INTEGER else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds):
        problems.append(FieldProblem(path, f"must be of type {rule.kind}"))
        return value
    in_bounds = rule.minimum <= value <= rule.maximum
    if not (in_bounds and isfinite(value)):
        problems.append(
            FieldProblem(
                path, f"must be from {rule.minimum:g} to {rule.maximum:g}"
            )
        )
    return value


def check_name(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept a name, one of the choices, or an empty optional name."""
    if rule.choices:
        if value not in rule.choices:
            listed = " or ".join(rule.choices)
            problems.append(FieldProblem(path, f"must be {listed}"))
        return value
    if rule.kind == OPTIONAL_NAME and value == "":
        return value
    if not is_name(value):
        problems.append(FieldProblem(path, NAME_HELP))
    return value


def check_address(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept an address of the form host:port."""
    if not is_address(value):
        problems.append(FieldProblem(path, "must be host:port"))
    return value


def is_address(value: Any) -> bool:
    """Return whether a value is a valid host:port address."""
    if not isinstance(value, str) or not ADDRESS_PATTERN.fullmatch(value):
        return False
    try:
        parse_address(value)
    except SettingsError:
        return False
    return True


def check_labels(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept an object of label names and values within the limits."""
    if not isinstance(value, dict) or len(value) > LABELS_LIMIT:
        problems.append(
            FieldProblem(
                path, f"must be an object of at most {LABELS_LIMIT} labels"
            )
        )
        return value
    for name, text in value.items():
        label_path = f"{path}.{name[:NAME_LIMIT_CHARACTERS]}"
        if not is_name(name):
            problems.append(FieldProblem(label_path, NAME_HELP))
        if not is_label(text):
            problems.append(
                FieldProblem(
                    label_path,
                    f"must be a string of at most {LABEL_LIMIT_CHARACTERS} "
                    "printable characters without ',' and '='",
                )
            )
    return value


def is_label(text: Any) -> bool:
    """Return whether a value is a valid label value."""
    if not isinstance(text, str) or len(text) > LABEL_LIMIT_CHARACTERS:
        return False
    return text.isprintable() and not set(text) & {",", "="}


def check_object(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept an object within the size and nesting limits."""
    if not isinstance(value, dict):
        problems.append(FieldProblem(path, "must be an object"))
        return value
    if exceeds_depth(value, DEPTH_LIMIT):
        problems.append(
            FieldProblem(path, f"must nest at most {DEPTH_LIMIT} levels deep")
        )
        return value
    if len(dumps(value)) > WORK_LIMIT_BYTES:
        problems.append(
            FieldProblem(
                path, f"must be at most {WORK_LIMIT_BYTES} bytes of JSON"
            )
        )
    return value


def exceeds_depth(value: Any, limit: int) -> bool:
    """Return whether a value has more nesting levels than a limit."""
    if not isinstance(value, dict | list):
        return False
    if limit == 0:
        return True
    members = value.values() if isinstance(value, dict) else value
    return any(exceeds_depth(member, limit - 1) for member in members)


def check_list(
    rule: FieldRule, value: Any, path: str, problems: Problems
) -> Any:
    """Accept a list of objects within the length limit."""
    if not isinstance(value, list) or len(value) > rule.maximum:
        problems.append(
            FieldProblem(
                path, f"must be a list of at most {rule.maximum:g} entries"
            )
        )
        return []
    return [
        check_members(rule.members, member, f"{path}[{index}]", problems)
        for index, member in enumerate(value)
    ]


CHECKS: dict[str, Check] = {
    BOOLEAN: check_boolean,
    INTEGER: check_number,
    NUMBER: check_number,
    NAME: check_name,
    OPTIONAL_NAME: check_name,
    ADDRESS: check_address,
    LABELS: check_labels,
    OBJECT: check_object,
    LIST: check_list,
}


def no_problems(spec: dict[str, Any]) -> Problems:
    """Return no problems: the kind has no members that must be unique."""
    return []


def duplicate_problems(
    entries: Iterable[tuple[str, str]], noun: str
) -> Problems:
    """Return a problem for each path whose value occurred before."""
    first: dict[str, str] = {}
    problems: Problems = []
    for path, text in entries:
        if text in first:
            problems.append(
                FieldProblem(path, f"repeats the {noun} of {first[text]}")
            )
        first.setdefault(text, path)
    return problems


def check_failure_domain(spec: dict[str, Any]) -> Problems:
    """Return problems for racks or workers with equal names or addresses."""
    racks = list(enumerate(spec["racks"]))
    workers = [
        (f"spec.racks[{i}].workers[{j}]", worker)
        for i, rack in racks
        for j, worker in enumerate(rack["workers"])
    ]
    rack_names = [(f"spec.racks[{i}].name", rack["name"]) for i, rack in racks]
    names = [(f"{path}.name", worker["name"]) for path, worker in workers]
    addresses = [(f"{path}.address", w["address"]) for path, w in workers]
    return [
        *duplicate_problems(rack_names, "name"),
        *duplicate_problems(names, "name"),
        *duplicate_problems(addresses, "address"),
    ]


def check_backend_service(spec: dict[str, Any]) -> Problems:
    """Return problems for servers with equal names or addresses."""
    servers = list(enumerate(spec["servers"]))
    names = [(f"spec.servers[{i}].name", s["name"]) for i, s in servers]
    addresses = [
        (f"spec.servers[{i}].address", s["address"]) for i, s in servers
    ]
    return [
        *duplicate_problems(names, "name"),
        *duplicate_problems(addresses, "address"),
    ]


UNIQUE_CHECKS: dict[str, Callable[[dict[str, Any]], Problems]] = {
    "failure_domain": check_failure_domain,
    "backend_service": check_backend_service,
}
