"""Start the project's own program as the deploy file says."""

import json
import os
import shutil
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000,
    "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "configuration_ms": 2000, "rollback_slack_ms": 250,
    "stretch_maximum_ms": 5000, "strict_revocation": True, "revoke_ms": 5000,
    "cold_overage": 1.5, "cold_slack": 5, "evacuation_ms": 5000,
    "recovery_s": 12, "hold_maximum_ms": 6000, "stop_ms": 200,
    "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "slowdown_factor": 3, "checkpoint_s": 1,
    "restore_ms": 100, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
    "requires_fencing": False, "lease_ms": 3000, "thaw_ms": 300,
    "pace_ms": 100, "harm_ms": 4000, "reclaim_ms": 2700,
}
FRONT_PORT = 8521
READY_PORT = 8523
FIRST_INTERNAL_PORT = 7000


def own_host(number):
    """Return a loopback address that no other case uses at this time."""
    process = os.getpid()
    return f"127.{64 + process % 100}.{process // 100 % 250 + 1}.{number}"


class Node:
    """One process of the role in the deploy file."""

    def __init__(self, number, zone, zones, store, machines, folder):
        self.name = f"front-{zone}-{number}"
        host = own_host(number)
        self.front = f"{host}:{FRONT_PORT}"
        self.ready = f"{host}:{READY_PORT}"
        self.process = None
        self.path = folder / f"{self.name}.yaml"
        self.log = folder / f"{self.name}.log"
        settings = {
            "node_name": self.name, "role": "node", "machine_class": "front",
            "serves": ["front"], "ip_address": host, "zone": zone,
            "region": "region-1", "zones": dict.fromkeys(zones, "region-1"),
            "listen_addresses": {"front": self.front, "ready": self.ready},
            "internal_port_range": [
                FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 15
            ], "seed_nodes": [],
            "first_start": True, "counted_in_tolerance": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "file_descriptors": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_directory": None, "discovery": "platform",
            "entry": "virtual_ip", "heartbeat_ms": 1500,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call",
            "platform": {"address": store, "form": "table",
                         "writes_per_s": 800, "reads_per_s": 2000,
                         "transaction_ms": 5.0, "part_writes_per_s": 200,
                         "row_bytes": 65536, "across": False,
                         "history_s": 20, "blob_bytes": 8388608,
                         "blob_ms": 25.0, "blob_mb_per_s": 80.0},
            "cloud_api": {"address": machines, "rate_per_s": 60.0,
                          "duties": [], "duty_per_s": 60.0},
        }
        # JSON is YAML.
        self.path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "DAMASKSTALL_SETTINGS": str(self.path),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Nodes:
    """The processes of a case, and their temporary folder."""

    def __init__(self, count, zones, store, machines):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = [
            Node(n + 1, zones[n % len(zones)], zones, store, machines,
                 self.folder)
            for n in range(count)
        ]

    def start(self):
        for node in self.nodes:
            node.start()

    def close(self, keep_to=None):
        for node in self.nodes:
            node.stop()
        if keep_to:
            shutil.copytree(self.folder, keep_to, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
