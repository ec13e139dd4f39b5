"""Budget of retries that cannot amplify an outage."""

from __future__ import annotations

BUDGET_MAX = 20.0


class Budget:
    """Tokens earned by first tries and spent by retries of one router."""

    def __init__(self) -> None:
        self.tokens = BUDGET_MAX / 2

    def earn(self, ratio: float) -> None:
        """Adds the share of a retry that a first try pays for."""
        self.tokens = min(BUDGET_MAX, self.tokens + ratio)

    def spend(self) -> bool:
        """Takes one retry out of the budget; False if it is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
