"""Select jobs by team, state and labels."""

from typing import Any, NamedTuple

from damaskstall.errors import BadRequestError
from damaskstall.resources.validate import is_label, is_name

SELECTOR_LIMIT_CHARACTERS = 2048
TERMS_LIMIT = 32
LABEL_PREFIX = "label."


class Selector(NamedTuple):
    """The conditions on a job; an empty string matches any value."""

    team: str = ""
    state: str = ""
    labels: tuple[tuple[str, str], ...] = ()

    @property
    def matches_all(self) -> bool:
        """Return whether every job matches."""
        return self == Selector()


def parse_selector(text: str) -> Selector:
    """Parse a selector such as ``team=a,state=queued,label.x=y``.

    Raises BadRequestError when a term is malformed, unknown or repeated.
    """
    if len(text) > SELECTOR_LIMIT_CHARACTERS:
        raise BadRequestError(
            f"The selector is longer than {SELECTOR_LIMIT_CHARACTERS} "
            "characters."
        )
    terms = [term for term in text.split(",") if term]
    if len(terms) > TERMS_LIMIT:
        raise BadRequestError(
            f"The selector has more than {TERMS_LIMIT} terms."
        )
    found: dict[str, str] = {}
    for term in terms:
        name, equals, value = term.partition("=")
        if not equals or not is_term(name, value):
            raise BadRequestError(
                f"The selector's term {term!r} must be a valid team=<name>, "
                "state=<name> or label.<name>=<value>."
            )
        if name in found:
            raise BadRequestError(
                f"The selector sets {name!r} more than once."
            )
        found[name] = value
    labels = tuple(
        (name.removeprefix(LABEL_PREFIX), value)
        for name, value in found.items()
        if name.startswith(LABEL_PREFIX)
    )
    return Selector(found.get("team", ""), found.get("state", ""), labels)


def is_term(name: str, value: str) -> bool:
    """Return whether a selector term has a known name and a valid value."""
    if name in ("team", "state"):
        return is_name(value)
    if not name.startswith(LABEL_PREFIX):
        return False
    return is_name(name.removeprefix(LABEL_PREFIX)) and is_label(value)


def selects(
    selector: Selector, spec: dict[str, Any], status: dict[str, Any]
) -> bool:
    """Return whether a job's spec and status match the selector."""
    if selector.team and spec.get("team") != selector.team:
        return False
    if selector.state and status.get("state") != selector.state:
        return False
    labels = spec.get("labels", {})
    return all(labels.get(name) == text for name, text in selector.labels)
