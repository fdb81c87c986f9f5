"""Provide a process's metric types and render its metrics for scraping."""

from aioprometheus.collectors import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

__all__ = ["Counter", "Gauge", "Histogram", "render_metrics"]


def render_metrics() -> tuple[bytes, dict[str, str]]:
    """Return all metrics in Prometheus text format and the HTTP headers."""
    content, headers = render(REGISTRY, [])
    return content, headers
