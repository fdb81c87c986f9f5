"""Name the versions of the policy that are compared."""

from collections.abc import Callable

from bench.jobs.baselines import FirstFit
from damaskstall.placement.model import Cell, Policy
from damaskstall.placement.policy import CellPolicy
from damaskstall.placement.slots import FixedHomes, LateBinding

MakePolicy = Callable[[Cell], Policy]

VERSIONS: dict[str, MakePolicy] = {
    "fifo-strict": lambda cell: FirstFit(cell, strict=True),
    "fifo-first-fit": lambda cell: FirstFit(cell, strict=False),
    "v1-fixed-homes": lambda cell: CellPolicy(cell, FixedHomes()),
    "v1-late-binding": lambda cell: CellPolicy(cell, LateBinding()),
}
