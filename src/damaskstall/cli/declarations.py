"""Read declarations from YAML and JSON files."""

from json import dumps, loads
from pathlib import Path
from sys import stdin
from typing import Any, NamedTuple

from yaml import SafeLoader, YAMLError, load_all
from yaml.constructor import ConstructorError
from yaml.nodes import MappingNode

from damaskstall.cli.client import CtlError
from damaskstall.cli.exit_codes import USAGE
from damaskstall.resources.records import KINDS

FILE_LIMIT_BYTES = 64 * 1024 * 1024
KNOWN_FIELDS = frozenset(
    {"kind", "name", "spec", "status", "resource_version"}
)


class Declaration(NamedTuple):
    """One resource declaration of a file."""

    kind: str
    name: str
    spec: Any


class UniqueLoader(SafeLoader):
    """A safe YAML loader that rejects duplicate keys of a mapping."""

    def construct_mapping(
        self, node: MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        """Return a mapping; raise ConstructorError for a duplicate key."""
        keys = [key.value for key, _ in node.value]
        if len(set(map(str, keys))) != len(keys):
            raise ConstructorError(
                None, None, "found a duplicate key", node.start_mark
            )
        return super().construct_mapping(node, deep=deep)


def read_files(paths: list[str]) -> list[Declaration]:
    """Return the declarations of files in order; "-" is standard input.

    Raises CtlError for a file that cannot be read or is malformed.
    """
    declarations = []
    for path in paths:
        declarations += parse_documents(path, read_text(path))
    return declarations


def read_text(path: str) -> str:
    """Return a file's text; raise CtlError if it is too long."""
    try:
        if path == "-":
            text = stdin.read(FILE_LIMIT_BYTES + 1)
        else:
            with Path(path).open(encoding="utf-8") as file:
                text = file.read(FILE_LIMIT_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise CtlError(
            USAGE, f"The file {path} cannot be read: {error}."
        ) from error
    if len(text) > FILE_LIMIT_BYTES:
        raise CtlError(
            USAGE,
            f"The file {path} is longer than the size limit.",
        )
    return text


def parse_documents(path: str, text: str) -> list[Declaration]:
    """Return the declarations of one file, including those in lists."""
    try:
        documents = list(load_all(text, UniqueLoader))
    except (YAMLError, ValueError, RecursionError) as error:
        raise CtlError(
            USAGE, f"The file {path} is not valid YAML or JSON: {error}"
        ) from error
    found = []
    for document in documents:
        if document is None:
            continue
        items = document
        if isinstance(document, dict):
            items = document.get("items", [document])
        if not isinstance(items, list):
            raise CtlError(
                USAGE,
                f"The file {path} has no declaration or list of declarations.",
            )
        found += [parse_declaration(path, item) for item in items]
    return found


def is_json(value: Any) -> bool:
    """Return whether a value survives a JSON round trip unchanged."""
    try:
        return bool(loads(dumps(value, allow_nan=False)) == value)
    except (TypeError, ValueError, RecursionError):
        return False


def parse_declaration(path: str, item: Any) -> Declaration:
    """Return a declaration; raise CtlError if it is malformed."""
    if not isinstance(item, dict):
        raise CtlError(USAGE, f"A document of {path} is not a mapping.")
    unknown = sorted(str(name) for name in item if name not in KNOWN_FIELDS)
    if unknown:
        raise CtlError(
            USAGE, f"A document of {path} has unknown fields: {unknown}."
        )
    kind, name = item.get("kind"), item.get("name")
    if kind not in KINDS or not isinstance(name, str):
        raise CtlError(
            USAGE,
            f"A document of {path} needs a kind of {', '.join(KINDS)} and "
            "a name.",
        )
    spec = item.get("spec", {})
    if not is_json(spec):
        raise CtlError(
            USAGE,
            f"The spec of {kind}/{name} in {path} has values that JSON cannot "
            "represent, such as dates, NaN or keys that are not strings.",
        )
    return Declaration(kind, name, spec)
