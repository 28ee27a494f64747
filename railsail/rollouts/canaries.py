"""Which replicas of the target version are its canaries.

A failure domain may be slow or lose messages. Canaries that were all in it would speak against a
good version, whose baseline is spread over the domains; and they would all be lost with it.
"""

from collections import Counter
from collections.abc import Iterable, Mapping


def over_domains(ranked: Iterable[str], domains: Mapping[str, str]) -> list[str]:
    """Return the replicas ``ranked`` so that the first ones are in as many domains as can be."""
    before: Counter[str] = Counter()
    turns: dict[str, int] = {}
    for name in ranked:
        turns[name] = before[domains[name]]
        before[domains[name]] += 1
    return sorted(turns, key=turns.__getitem__)
