"""The policy and the class of workspaces that are configured without their own."""

from railsail.objects.kinds import Policy, PriorityClass

DEFAULT_CLASS = PriorityClass(name="standard")

# A request waits for a place for a fifth of its objective at most: one that is refused by then can
# still be served in time when its caller comes back.
DEFAULT_POLICY = Policy(
    name="routed",
    rank="-double(request.priority)",
    may_wait="request.objective > 0.0 ? request.objective / 5.0 : 60.0",
    never_repeat="!request.repeatable",
)
