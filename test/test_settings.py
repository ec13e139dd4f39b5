"""Settings: merging of layers, locations of findings, key suggestions."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from agatedock import errors
from agatedock.native import settings


class SettingsTest(unittest.TestCase):
    """Defaults, file and options are merged and validated together."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._path = pathlib.Path(folder.name) / "router.yaml"

    def _load(self, text: str, *options: str) -> settings.Settings:
        self._path.write_text(text)
        return settings.load(self._path, list(options))

    def test_later_layers_win(self):
        text = "name: r1\nfailure_domain: a\nsteward: {poll_ms: 900}\n"
        config = self._load(text, "steward.poll_ms=700", "log.level=debug")
        self.assertEqual(config.steward.poll_ms, 700)
        self.assertEqual(config.log.level, "debug")
        self.assertEqual(config.steward.order_timeout_ms, 1000)

    def test_all_findings_are_reported_with_their_locations(self):
        text = (
            "name: r1\n"
            "failure_domain: a\n"
            "steward:\n"
            "  poll_mss: 900\n"
            "listen:\n"
            "  caller_port: 70000\n"
        )
        with self.assertRaises(errors.FindingsError) as caught:
            self._load(text)
        shown = str(caught.exception).replace(str(self._path), "router.yaml")
        self.assertEqual(
            shown.splitlines(),
            [
                "router.yaml:6 listen.caller_port: Input should be less than "
                "or equal to 65535",
                "router.yaml:4 steward.poll_mss: unknown key; did you mean "
                "'poll_ms'?",
            ],
        )

    def test_missing_name_is_reported(self):
        with self.assertRaises(errors.FindingsError) as caught:
            settings.load(None, ["failure_domain=a"])
        self.assertIn("name", str(caught.exception))

    def test_invalid_yaml_is_reported_with_its_location(self):
        with self.assertRaises(errors.FindingsError) as caught:
            self._load("name: r1\nsteward: [\n")
        self.assertIn("router.yaml:3", str(caught.exception))

    def test_option_without_value_is_rejected(self):
        with self.assertRaises(errors.UserError):
            self._load("name: r1\nfailure_domain: a\n", "steward.poll_ms")
