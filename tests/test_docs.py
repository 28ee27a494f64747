"""Generated pages are up to date, findings and metrics are documented, and links aren't broken."""

import re
import unittest
from pathlib import Path

from railsail.conf import reference as settings_reference
from railsail.core.metrics import Metrics
from railsail.peers import reference as protocol_reference

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"


class DocsTests(unittest.TestCase):
    def test_settings_page_is_current(self):
        page = (DOCS / "ref" / "settings.md").read_text()
        self.assertEqual(page, settings_reference.page())

    def test_protocol_page_is_current(self):
        page = (DOCS / "internals" / "protocol.md").read_text()
        self.assertEqual(page, protocol_reference.page())

    def test_every_finding_is_documented(self):
        page = (DOCS / "ref" / "checks.md").read_text()
        sources = [path.read_text() for path in (ROOT / "railsail").rglob("*.py")]
        ids = {found for source in sources for found in re.findall(r"railsail\.E\d{3}", source)}
        self.assertEqual({found for found in ids if found not in page}, set())

    def test_every_metric_is_documented(self):
        page = (DOCS / "ref" / "metrics.md").read_text()
        metrics = Metrics()
        names = {metric.name for metric in vars(metrics).values() if hasattr(metric, "name")}
        self.assertTrue(names)
        self.assertEqual({name for name in names if name not in page}, set())

    def test_links_between_pages_are_not_broken(self):
        broken = []
        for page in [ROOT / "README.md", *DOCS.rglob("*.md")]:
            for target in re.findall(r"\]\(([^)#:]+)", page.read_text()):
                if not target.startswith("http") and not (page.parent / target).exists():
                    broken.append(f"{page.name}: {target}")
        self.assertEqual(broken, [])


if __name__ == "__main__":
    unittest.main()
