"""Routes among the objects that operators write: ``public`` alone says whether a key is needed.

Symptom: as an operator deleted the last workspace, all routes ran requests without a key.
"""

from tests.fleet.base import objects
from tests.fleet.test_configuration import ConfigurationTestCase
from tests.platform.standins import ReplicaStandin, answering

HOST = "127.0.0.1"


def route(name: str, **fields: object) -> dict:
    """Return a route to the plain service, by the path of its name."""
    value = {"kind": "route", "name": name, "host": HOST, "prefix": f"/{name}/"}
    return value | {"pools": [{"pool": "desk"}]} | fields


class RouteKeyTests(ConfigurationTestCase):
    daemons = 2
    node_settings = {"plugins": "railsail.platform", "caller_interface": "prepared"}

    async def asyncSetUp(self) -> None:
        self.replica = ReplicaStandin("i-0", answering())
        await self.replica.start()
        self.addCleanup(self.replica.stop)
        await super().asyncSetUp()

    def add_replicas(self) -> None:
        endpoint = f"{HOST}:{self.replica.port}"
        value = {"pool": "desk", "endpoint": endpoint, "state": "live", "failure_domain": ""}
        self.fleet.store.put("upstream", self.replica.name, value)

    def configuration(self) -> list[dict]:
        return [*objects(), route("closed"), route("open", public=True)]

    async def settle(self) -> None:
        await super().settle()
        await self.until(lambda: all(node.directory.all() for node in self.fleet.nodes))

    async def statuses(self, path: str, workspace: str) -> set[int]:
        """Return what all nodes answer to the key of ``workspace``."""
        answers = [
            await self.call(node, path, workspace=workspace, Request_Id="r-1")
            for node in self.fleet.nodes
        ]
        return {answer.code for answer in answers}

    async def test_routes_that_are_not_public_need_a_key_without_any_workspace(self):
        self.assertEqual(await self.statuses("/closed/x", "one"), {200})
        self.assertEqual(await self.statuses("/closed/x", "never"), {401})
        gone = [{"kind": "workspace", "name": name, "delete": True} for name in ("one", "two")]
        status, body = await self.change(self.fleet.nodes[0], gone)
        self.assertEqual(status, 200, body)
        await self.until(lambda: self.versions() == {2})
        for workspace in ("one", "never"):
            self.assertEqual(await self.statuses("/closed/x", workspace), {401})
            self.assertEqual(await self.statuses("/open/x", workspace), {200})
