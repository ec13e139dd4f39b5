"""Fleet configuration: validation and resolution of overrides."""

from __future__ import annotations

import datetime
import unittest

from agatedock import errors
from agatedock.fleet import documents
from agatedock.fleet import resolution
from agatedock.fleet import yaml_loader
from agatedock.native import native_configuration
from agatedock.native import settings

NOW_MS = 1_800_000_000_000

INVALID_SHAPE = """\
defaults: {load_bond: 1.5}
works: {guide: fastest}
models: [{name: llm}, {name: llm}]
accounts: [kennel-1]
exceptions:
  - {id: a, match: {account: kennel-1}, set: {load_bound: 99},
     author: me, reason: why}
  - {id: a, match: {account: kennel-9}, set: {load_bound: 2},
     author: me, reason: "  "}
"""

INVALID_MEANING = """\
accounts: [kennel-1]
models: [{name: llm}]
services: [{name: shop}]
works: {guide: fastest}
exceptions:
  - {id: a, match: {account: kennel-9}, set: {load_bound: 2},
     author: me, reason: why}
  - {id: b, match: {model: llm, service: shop}, set: {load_bound: 2},
     author: me, reason: why}
  - {id: c, match: {account: kennel-1}, set: {load_bound: 2},
     author: me, reason: why, expires: 2020-01-01T00:00:00Z}
  - {id: d, match: {account: kennel-1}, set: {load_bound: 2},
     author: me, reason: why}
  - {id: d, match: {account: kennel-1}, set: {load_bound: 3},
     author: me, reason: why}
  - {id: e, match: {}, set: {load_bound: 99}, author: me, reason: why}
"""


def check(text: str) -> documents.Document:
    """Validates a document given as YAML."""
    data, lines = yaml_loader.load_text(text, "fleet.yaml")
    return documents.check(data, lines, "fleet.yaml", NOW_MS)


class CheckTest(unittest.TestCase):
    """All findings of a document are reported with their locations."""

    def _list_findings(self, text: str) -> list[str]:
        with self.assertRaises(errors.FindingsError) as caught:
            check(text)
        return [str(finding) for finding in caught.exception.findings]

    def test_findings_of_the_schema(self):
        self.assertEqual(
            self._list_findings(INVALID_SHAPE),
            [
                "fleet.yaml:1 defaults.load_bond: unknown key; did you mean "
                "'load_bound'?",
                "fleet.yaml:9 exceptions.1.reason: String should have at "
                "least 1 character",
            ],
        )

    def test_findings_of_the_content(self):
        self.assertEqual(
            self._list_findings(INVALID_MEANING),
            [
                "fleet.yaml:4 works.guide: no rank 'fastest'",
                "fleet.yaml:6 exceptions.0.match.account: can never apply: "
                "no account 'kennel-9'",
                "fleet.yaml:6 exceptions.0.set.load_bound: can never apply: "
                "holds for all accounts alike",
                "fleet.yaml:8 exceptions.1.match: can never apply: no "
                "request has a model and a service",
                "fleet.yaml:11 exceptions.2.expires: can never apply: "
                "already expired",
                "fleet.yaml:10 exceptions.2.set.load_bound: can never apply: "
                "holds for all accounts alike",
                "fleet.yaml:10 exceptions.2: can never apply: 'd' sets the "
                "same",
                "fleet.yaml:12 exceptions.3.set.load_bound: can never apply: "
                "holds for all accounts alike",
                "fleet.yaml:12 exceptions.3: can never apply: 'd' sets the "
                "same",
                "fleet.yaml:14 exceptions.4.id: id 'd' is used twice",
                "fleet.yaml:14 exceptions.4.set.load_bound: can never apply: "
                "holds for all accounts alike",
                "fleet.yaml:16 exceptions.5.match: matches everything; "
                "change the defaults",
                "fleet.yaml:16 exceptions.5.set.load_bound: Input should be "
                "less than or equal to 10",
            ],
        )


class ResolveTest(unittest.TestCase):
    """Resolution of a default with overrides."""

    def _make_override(self, **changes: object) -> documents.Override:
        data = {
            "id": "x",
            "match": {"account": "a"},
            "set": {"account_weight": 2.0},
            "reason": "r",
            "author": "o",
            **changes,
        }
        return documents.Override.model_validate(data)

    def _resolve(self, *overrides: documents.Override) -> float:
        resolver = resolution.Resolver(documents.Document(exceptions=overrides))
        scope = documents.Match(account="a", model="m")
        return resolver.resolve("account_weight", scope, NOW_MS).value

    def test_default_applies_without_an_override(self):
        self.assertEqual(self._resolve(), 1.0)
        other = self._make_override(match={"account": "b"})
        self.assertEqual(self._resolve(other), 1.0)

    def test_most_specific_then_latest_override_wins(self):
        wide = self._make_override()
        narrow = self._make_override(
            match={"account": "a", "model": "m"}, set={"account_weight": 3.0}
        )
        later = self._make_override(set={"account_weight": 4.0})
        self.assertEqual(self._resolve(wide, later), 4.0)
        self.assertEqual(self._resolve(narrow, wide, later), 3.0)

    def test_expired_override_does_not_apply(self):
        past = datetime.datetime.fromtimestamp(NOW_MS / 1000 - 1, datetime.UTC)
        self.assertEqual(self._resolve(self._make_override(expires=past)), 1.0)


LIMITS = settings.Limits(**dict.fromkeys(settings.Limits.model_fields, 1000))


class AccountsTest(unittest.TestCase):
    """Which accounts a configuration of the native API accepts."""

    def accepts(self, name: str, **fields) -> bool:
        config = native_configuration.NativeConfiguration(
            documents.Document(**fields),
            LIMITS,
        )
        return config.find_account(name) is not None

    def test_closed_list_stays_closed_without_its_last_account(self):
        self.assertTrue(self.accepts("a", accounts=("a",)))
        self.assertFalse(self.accepts("b", accounts=("a",)))
        self.assertFalse(self.accepts("a", accounts_closed=True))
        self.assertTrue(
            self.accepts("a", accounts=("a",), accounts_closed=True)
        )

    def test_open_list_accepts_all(self):
        self.assertTrue(self.accepts("a"))
