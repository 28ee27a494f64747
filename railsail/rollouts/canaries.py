"""Which replicas of the target version are its canaries.

Canaries are spread over the failure domains. A failure domain may be slow or lose messages. If all
canaries were in it, a good version would look bad beside a baseline that covers all domains, and
the loss of the domain would take all canaries.
"""

from collections import Counter
from collections.abc import Iterable, Mapping


def spread_over_domains(ranked: Iterable[str], domains: Mapping[str, str]) -> list[str]:
    """Return ``ranked`` reordered so that its first replicas cover as many domains as possible.

    Within a domain the ranking stays. ``domains`` maps each replica to its failure domain.
    """
    domain_counts: Counter[str] = Counter()
    positions: dict[str, int] = {}
    for name in ranked:
        positions[name] = domain_counts[domains[name]]
        domain_counts[domains[name]] += 1
    return sorted(positions, key=positions.__getitem__)
