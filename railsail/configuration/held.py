"""What a node knows of the age of its active configuration, and what it may refuse by it."""

import math

import msgspec

from railsail.core.events import Fact
from railsail.core.outcomes import NotRun, Reason


class Held(msgspec.Struct, frozen=True):
    """Which version of the configuration is active here, and since when it may be outdated.

    ``source`` is the peer that sent it, or the store. The store can have had a newer version for at
    most ``proof_age`` seconds, infinite if that is unknown. Within ``max_proof_age`` seconds of its
    acknowledgement, a version may not be in force everywhere.
    """

    version: int
    source: str
    proof_age: float
    max_proof_age: float

    @property
    def proved(self) -> bool:
        """Return True if no newer version has to be in force by now."""
        return self.proof_age <= self.max_proof_age

    def refusal(self, reason: Reason, detail: str) -> NotRun:
        """Return the outcome of a request that this configuration does not allow.

        Callers take ``reason`` as final. Unless this version is proved, another reason is given,
        since another node may have a newer configuration that allows the request.
        """
        if self.proved:
            return NotRun(reason, detail)
        return NotRun(Reason.UNPROVED_CONFIGURATION, f"{detail} here, and this node may be behind")

    def facts(self) -> dict[str, Fact]:
        """Return the fields as facts of an event."""
        facts: dict[str, Fact] = {"configuration": self.version, "source": self.source}
        if math.isfinite(self.proof_age):
            facts["proof_age_ms"] = round(self.proof_age * 1000)
        return facts
