"""Keep a process's metrics and render them for scraping."""

from aioprometheus.collectors import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

__all__ = ["Counter", "Gauge", "Histogram", "render_metrics"]


def render_metrics() -> tuple[bytes, dict[str, str]]:
    """Return the text of all metrics and its HTTP headers."""
    content, headers = render(REGISTRY, [])
    return content, headers
