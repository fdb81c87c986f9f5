"""Generate the tables of docs/API.md from the code.

Run ``python -m tools.generate_api`` to write the page, and with ``--check``
to exit 1 when it is stale. The text outside the tables is written by hand.
"""

from json import dumps
from sys import argv, exit
from typing import Any

from damaskstall.cli.exit_codes import EXIT_CODES
from damaskstall.resources.fields import REQUIRED, SPEC_FIELDS, FieldRule
from damaskstall.resources.routes import ROUTES, STATUS_HELP, Route
from tools.pages import ROOT, replace_part, table, write_or_check

PAGE = ROOT / "docs" / "API.md"


def render_paths() -> str:
    """Return the table of all methods and paths."""
    header = ["method and path", "what it does", "query", "body", "answers"]
    return table(header, [path_row(route) for route in ROUTES])


def path_row(route: Route) -> list[str]:
    """Return the table row of one route."""
    return [
        f"`{route.method} {route.pattern}`",
        route.help,
        code_list(route.query),
        code_list(route.body),
        ", ".join(str(status) for status in route.statuses),
    ]


def code_list(names: tuple[str, ...]) -> str:
    """Return names in code format, or a dash when there are none."""
    return ", ".join(f"`{name}`" for name in names) or "-"


def render_statuses() -> str:
    """Return the table of status codes."""
    rows = [[str(status), text] for status, text in STATUS_HELP.items()]
    return table(["status", "meaning"], rows)


def render_fields() -> str:
    """Return one table of ``spec`` fields for each kind of resource."""
    parts = []
    for kind, rules in SPEC_FIELDS.items():
        parts.append(f"### {kind}\n")
        header = ["field of `spec`", "type", "bounds", "default", "meaning"]
        parts.append(table(header, field_rows(rules, "")) + "\n")
    return "\n".join(parts).rstrip()


def field_rows(rules: tuple[FieldRule, ...], prefix: str) -> list[list[str]]:
    """Return the table rows of fields, each followed by its members' rows."""
    rows = []
    for rule in rules:
        path = prefix + rule.name
        bounds = bounds_text(rule)
        default = default_text(rule)
        rows.append([f"`{path}`", rule.kind, bounds, default, rule.help])
        rows += field_rows(rule.members, f"{path}[].")
    return rows


def bounds_text(rule: FieldRule) -> str:
    """Return the choices or the bounds of a field's value."""
    if rule.choices:
        return " or ".join(f"`{choice}`" for choice in rule.choices)
    if rule.members:
        return f"at most {rule.maximum:g} entries"
    if rule.maximum:
        return (
            f"{format_number(rule.minimum)} to {format_number(rule.maximum)}"
        )
    return "-"


def format_number(number: float) -> str:
    """Format a number; omit the fraction of a whole number."""
    return str(int(number)) if number == int(number) else str(number)


def default_text(rule: FieldRule) -> str:
    """Return a field's default value as JSON, or ``required``."""
    default: Any = rule.default
    if default is REQUIRED:
        return "required"
    return f"`{dumps([] if rule.members else default)}`"


def render_exits() -> str:
    """Return the table of exit codes of damaskstallctl."""
    rows = [[str(code.code), code.help] for code in EXIT_CODES]
    return table(["exit code", "meaning"], rows)


def render(page: str) -> str:
    """Return the page with its tables regenerated."""
    parts = {
        "paths": render_paths(),
        "statuses": render_statuses(),
        "fields": render_fields(),
        "exit codes": render_exits(),
    }
    for name, text in parts.items():
        page = replace_part(page, name, text)
    return page


def main(check: bool) -> int:
    """Write or check the page; return the exit code."""
    return write_or_check(PAGE, render(PAGE.read_text()), check)


if __name__ == "__main__":
    exit(main("--check" in argv[1:]))
