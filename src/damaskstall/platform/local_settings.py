"""Read the settings file that the operators' platform writes for a node."""

from typing import Any

from yaml import YAMLError, safe_load

from damaskstall.addresses import Address, parse_address
from damaskstall.errors import DECODE_ERRORS, SettingsError
from damaskstall.tasks.node_settings import (
    DEFAULT_CONFIGURATION_S,
    DEFAULT_EVACUATION_S,
    DEFAULT_WORKER_DRAIN_S,
    NodeSettings,
)

SETTINGS_VARIABLE = "DAMASKSTALL_SETTINGS"
MILLISECONDS_PER_S = 1000


def read_settings(path: str) -> NodeSettings:
    """Return the settings in a file; raise SettingsError if it is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            value = safe_load(file)
        return decode_settings(value)
    except (OSError, YAMLError) as error:
        raise SettingsError(
            f"The settings file {path} cannot be read: {error}."
        ) from error
    except DECODE_ERRORS as error:
        raise SettingsError(
            f"The settings file {path} has a missing or invalid field: "
            f"{error!r}."
        ) from error


def decode_settings(value: Any) -> NodeSettings:
    """Return the settings that a JSON-like value describes."""
    bounds = value["bounds"]
    listen = value["listen_addresses"]
    ports = value["internal_port_range"]
    return NodeSettings(
        instance=str(value["node_name"]),
        failure_domain=str(value["zone"]),
        ip_address=str(value["ip_address"]),
        listen=parse_address(listen["front"]),
        readiness_listen=parse_address(listen["ready"]),
        peer_port=int(ports[0]),
        metrics_port=int(ports[1]),
        store=parse_address(value["platform"]["address"]),
        stop_grace_s=float(bounds["grace_s"]),
        key_removal_s=seconds(bounds["revoke_ms"]),
        worker_lease_s=seconds(bounds["hold_maximum_ms"]),
        machines=machines_address(value),
        processor_cores=processor_cores(value.get("limits") or {}),
        state_kept_s=float(bounds["status_s"]),
        configuration_s=bound_s(
            bounds, "configuration_ms", DEFAULT_CONFIGURATION_S
        ),
        evacuation_s=bound_s(bounds, "evacuation_ms", DEFAULT_EVACUATION_S),
        worker_drain_s=bound_s(bounds, "drain_ms", DEFAULT_WORKER_DRAIN_S),
        bounds_key_removal=bool(bounds.get("strict_revocation", True)),
    )


def processor_cores(limits: Any) -> float:
    """Return how many processor cores a process may use.

    It gets ``cpu_share`` of one core, which is ``cores`` times as fast as a
    standard core.
    """
    share = float(limits.get("cpu_share", 1.0))
    return share * float(limits.get("cores", 1))


def machines_address(value: Any) -> Address | None:
    """Return the address of the list of machines, or None without one."""
    address = (value.get("cloud_api") or {}).get("address")
    return parse_address(address) if address else None


def bound_s(bounds: Any, name: str, default_s: float) -> float:
    """Return a bound in milliseconds as seconds, or the default without it.

    Deployments without a part of the platform's rules lack its bounds.
    """
    milliseconds = bounds.get(name)
    return default_s if milliseconds is None else seconds(milliseconds)


def seconds(milliseconds: Any) -> float:
    """Return a time in milliseconds as seconds."""
    return float(milliseconds) / MILLISECONDS_PER_S
