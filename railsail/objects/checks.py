"""The checks that a configuration must pass before it is committed."""

from collections.abc import Iterable

from railsail.core.checks import Finding, error
from railsail.core.registry import load_plugins
from railsail.objects.catalog import Catalog, check_references
from railsail.objects.kinds import UPSTREAM_KINDS, Policy, Pool
from railsail.policy.programs import check_program


def check_catalog(catalog: Catalog) -> list[Finding]:
    """Return all findings about ``catalog``, in a stable order."""
    findings = check_references(catalog)
    findings += _check_policies(catalog.of_kind(Policy))
    findings += _check_pools(catalog.of_kind(Pool))
    return findings


def _check_policies(policies: Iterable[Policy]) -> list[Finding]:
    findings = []
    for policy in policies:
        for field in ("rank", "may_wait", "never_repeat"):
            place = f"policy/{policy.name}.{field}"
            findings += check_program(field, getattr(policy, field), place)
    return findings


def _check_pools(pools: Iterable[Pool]) -> list[Finding]:
    load_plugins()
    findings = []
    for pool in pools:
        if pool.upstream_kind not in UPSTREAM_KINDS:
            place = f"pool/{pool.name}.upstream_kind"
            hint = "one of " + ", ".join(UPSTREAM_KINDS)
            message = f"there is no upstream kind {pool.upstream_kind!r}"
            findings.append(error("railsail.E022", message, place, hint))
    return findings
