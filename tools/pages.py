"""Write and check generated Markdown pages and parts of pages."""

from collections.abc import Sequence
from pathlib import Path
from re import DOTALL, escape, sub

ROOT = Path(__file__).resolve().parent.parent


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def replace_part(page: str, name: str, text: str) -> str:
    """Return a page with the text between a part's two markers replaced.

    Raises ValueError when the page lacks the opening marker.
    """
    begin, end = f"<!-- generated: {name} -->", "<!-- end -->"
    pattern = f"{escape(begin)}.*?{escape(end)}"
    replaced = sub(
        pattern, lambda _: f"{begin}\n{text}\n{end}", page, flags=DOTALL
    )
    if begin not in page:
        raise ValueError(f"The page lacks the marker {begin}.")
    return replaced


def write_or_check(path: Path, text: str, check: bool) -> int:
    """Write a page; with ``check``, return 1 instead when it is stale."""
    if path.exists() and path.read_text() == text:
        return 0
    if check:
        name = path.relative_to(ROOT)
        print(f"The page {name} is stale; run make generate.")
        return 1
    path.write_text(text)
    return 0
