"""Generate the committed Python modules from the schemas.

Run ``python tools/generate.py`` to write the files, and with ``--check`` to
exit 1 when a committed file is stale.
"""

from pathlib import Path
from re import sub
from sys import argv, exit
from typing import Any, NamedTuple

from black import Mode, format_str
from capnp import load

ROOT = Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "schema"
LINE_LENGTH = 79

UNIT_ID = 0xB0F1A65C3D2E4701
HELP_ID = 0xB0F1A65C3D2E4702
MINIMUM_ID = 0xB0F1A65C3D2E4703
MAXIMUM_ID = 0xB0F1A65C3D2E4704
PROGRAM_ID = 0xB0F1A65C3D2E4705

PYTHON_TYPES = {
    "text": "str",
    "data": "bytes",
    "bool": "bool",
    "int64": "int",
    "uint64": "int",
    "float64": "float",
}


class Struct(NamedTuple):
    """The name and the reflected node of one struct of a schema."""

    name: str
    node: Any


def to_snake_case(name: str) -> str:
    """Return a camel-case schema name in snake case."""
    return sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


def read_structs(module: Any) -> list[Struct]:
    """Return the structs of a loaded schema in file order."""
    return [
        Struct(nested.name, getattr(module, nested.name).schema.node)
        for nested in module.schema.node.nestedNodes
    ]


def annotation_value(annotated: Any, annotation_id: int) -> Any:
    """Return the value of a node's annotation, or None when it is absent."""
    for candidate in annotated.annotations:
        if candidate.id == annotation_id:
            return getattr(candidate.value, candidate.value.which())
    return None


def python_type(slot_type: Any, names: dict[int, str]) -> str:
    """Return the Python type annotation for a schema type."""
    which = str(slot_type.which())
    if which == "struct":
        return names[slot_type.struct.typeId]
    if which == "list":
        element = python_type(slot_type.list.elementType, names)
        return f"tuple[{element}, ...]"
    return PYTHON_TYPES[which]


def render_message(struct: Struct, names: dict[int, str]) -> str:
    """Return the source of the record class of one message."""
    lines = [f"class {struct.name}(NamedTuple):"]
    lines.append(f'    """Record of the message {struct.name}."""')
    lines.append("")
    choices = []
    for field in struct.node.struct.fields:
        kind = python_type(field.slot.type, names)
        if field.discriminantValue != 0xFFFF:
            choices.append(kind)
            continue
        lines.append(f"    {to_snake_case(field.name)}: {kind}")
    if choices:
        lines.append(f"    body: {' | '.join(choices)}")
    return "\n".join(lines)


def default_value(field: Any) -> Any:
    """Return the default value of a settings field."""
    return getattr(field.slot.defaultValue, field.slot.defaultValue.which())


def render_settings(struct: Struct, program: str) -> str:
    """Return the source of a program's settings class and field table."""
    lines = [f"class {struct.name}(NamedTuple):"]
    lines.append(f'    """Settings of {program}."""')
    lines.append("")
    rows = []
    for field in struct.node.struct.fields:
        kind = PYTHON_TYPES[str(field.slot.type.which())]
        name = to_snake_case(field.name)
        lines.append(f"    {name}: {kind} = {default_value(field)!r}")
        rows.append(
            f"SettingField({name!r}, {kind}, {default_value(field)!r}, "
            f"{annotation_value(field, UNIT_ID) or ''!r}, "
            f"{annotation_value(field, MINIMUM_ID)!r}, "
            f"{annotation_value(field, MAXIMUM_ID)!r}, "
            f"{annotation_value(field, HELP_ID)!r})"
        )
    table = to_snake_case(struct.name).upper()
    lines.append("")
    lines.append("")
    lines.append(f"{table} = ProgramFields(")
    lines.append(f"    {program!r}, ({', '.join(rows)},)")
    lines.append(")")
    return "\n".join(lines)


def format_module(parts: list[str]) -> str:
    """Join the parts of a generated module; return the formatted source."""
    source = "\n\n\n".join(parts) + "\n"
    return format_str(source, mode=Mode(line_length=LINE_LENGTH))


def generate_messages(structs: list[Struct]) -> str:
    """Return the source of the module of message records."""
    names = {struct.node.id: struct.name for struct in structs}
    header = '"""Message records, generated from the schema."""\n\n'
    header += "from typing import NamedTuple"
    messages = [
        s for s in structs if annotation_value(s.node, PROGRAM_ID) is None
    ]
    return format_module(
        [header] + [render_message(s, names) for s in messages]
    )


def generate_settings(structs: list[Struct]) -> str:
    """Return the source of the module of settings records."""
    header = '"""Settings of the programs, generated from the schema."""\n\n'
    header += "from typing import NamedTuple\n\n"
    header += (
        "from damaskstall.setting_fields import ProgramFields, SettingField"
    )
    parts = [header]
    for struct in structs:
        program = annotation_value(struct.node, PROGRAM_ID)
        if program is not None:
            parts.append(render_settings(struct, program))
    return format_module(parts)


def generated_files() -> dict[Path, str]:
    """Return the expected text of each generated file by its path."""
    generated = ROOT / "src" / "damaskstall" / "generated"
    imports = [str(SCHEMAS)]
    product = read_structs(
        load(str(SCHEMAS / "damaskstall.capnp"), imports=imports)
    )
    standins = read_structs(
        load(str(SCHEMAS / "standins.capnp"), imports=imports)
    )
    files = {
        generated / "messages.py": generate_messages(product),
        generated / "settings.py": generate_settings(product),
        ROOT / "standins" / "settings.py": generate_settings(standins),
    }
    for name in ("annotations.capnp", "damaskstall.capnp"):
        files[generated / name] = (SCHEMAS / name).read_text()
    return files


def main(check: bool) -> int:
    """Write or check the generated files; return the exit code.

    Only files whose text differs are written.
    """
    stale = []
    for path, text in generated_files().items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.relative_to(ROOT))
        if not check:
            path.write_text(text)
    if check and stale:
        print(f"Generated files are stale; run make generate: {stale}")
        return 1
    return 0


if __name__ == "__main__":
    exit(main("--check" in argv[1:]))
