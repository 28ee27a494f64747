"""A program has its inputs available, whichever fields it names and in whatever syntax."""

import unittest
from dataclasses import dataclass

import cel
import msgspec

from railsail.policy.programs import (
    CompiledPolicy,
    Inputs,
    LoadInput,
    RequestInput,
    WorkspaceInput,
)

INPUTS = Inputs(
    WorkspaceInput("harbour", "gold", 4.0),
    RequestInput("desk", "service", "GET", "/status", 12, 64, True, True, 3.5, 2, 0.25, True),
    LoadInput(3, 7),
)
PROGRAMS = (
    "1",
    "request.priority",
    "-double(request.priority) + workspace.weight",
    "request.pool == 'desk' ? load.waiting : load.workspace_waiting",
    "has(request.deadline) ? request . deadline : 0.0",
    "has(request.nothing) ? 1 : 2",
    "'priority' in request ? 1 : 2",
    "request['priority']",
    "size(request)",
    "request.size()",
    "request.path.size()",
    "request.path.startsWith('/status') ? 1 : 0",
    "request == request ? size(workspace.name) : 0",
    "'request.pool' == request.pool ? 1 : 2",
    "{'request': load.waiting}.request",
    "request // what follows is its\n.priority",
    "request.nothing",
    "nothing.priority",
    "request.priority(1)",
    "request.pool",
)


@dataclass
class Source:
    rank: str
    name: str = "p"
    may_wait: str = "request.objective"
    never_repeat: str = "!request.repeatable"


def on_all_inputs(source: str) -> object:
    """Return the result of a program that is passed all inputs, ``None`` if it fails."""
    try:
        return cel.compile(source).execute(msgspec.to_builtins(INPUTS))
    except (RuntimeError, ValueError, KeyError, TypeError):
        return None


class ProgramTests(unittest.TestCase):
    def test_result_equals_that_with_all_inputs(self):
        for source in PROGRAMS:
            with self.subTest(source=source):
                expected = on_all_inputs(source)
                decision = CompiledPolicy(Source(source)).judge(INPUTS)
                if isinstance(expected, int | float) and not isinstance(expected, bool):
                    self.assertEqual((decision.rank, decision.failed), (float(expected), ()))
                else:
                    self.assertEqual((decision.rank, decision.failed), (0.0, ("rank",)))
                self.assertEqual((decision.may_wait, decision.never_repeat), (0.25, False))

    def test_result_changes_with_the_inputs(self):
        policy = CompiledPolicy(Source("request.priority * 2"))
        for priority in (1, 2, 1, 2):
            request = msgspec.structs.replace(INPUTS.request, priority=priority)
            inputs = msgspec.structs.replace(INPUTS, request=request)
            self.assertEqual(policy.judge(inputs).rank, 2.0 * priority)

    def test_failure_is_reported_for_each_request(self):
        policy = CompiledPolicy(Source("1 / request.priority"))
        request = msgspec.structs.replace(INPUTS.request, priority=0)
        inputs = msgspec.structs.replace(INPUTS, request=request)
        for _ in range(2):
            self.assertEqual(policy.judge(inputs).failed, ("rank",))
        self.assertEqual(policy.judge(INPUTS).failed, ())

    def test_most_of_the_programs_return_a_number(self):
        results = [source for source in PROGRAMS if on_all_inputs(source) is not None]
        self.assertGreaterEqual(len(results), 15)


if __name__ == "__main__":
    unittest.main()
