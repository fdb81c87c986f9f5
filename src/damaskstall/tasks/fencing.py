"""Number the fencing tokens of a holder.

A worker refuses each command whose token is lower than one that it has
accepted. The first token of a holder is the epoch of its lease. A higher one
is used once commands with the earlier ones must no longer be carried out.
"""

# Distance between the epochs of successive leases: the number of tokens that
# one holder may use.
EPOCH_SPACING = 100_000


class FencingTokens:
    """The tokens of one holder, shared by all its sessions."""

    def __init__(self, epoch: int) -> None:
        """Begin with the epoch of the holder's lease."""
        self.epoch = epoch
        self.current = epoch

    def advance(self) -> bool:
        """Begin with the next token; return False if no token is left."""
        if self.current + 1 >= self.epoch + EPOCH_SPACING:
            return False
        self.current += 1
        return True


def next_epoch(last_epoch: int, table_revision: int) -> int:
    """Return an epoch that is higher than all tokens of earlier holders."""
    return max(last_epoch + EPOCH_SPACING, table_revision + 1)
