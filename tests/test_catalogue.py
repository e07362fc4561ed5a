"""The pages are those of the code, and forbidden words are found."""

from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from tools.catalogue import find_problems
from tools.catalogue import render_events
from tools.catalogue import render_settings
from tools.catalogue import write_pages
from tools.glossary import find_uses
from tools.glossary import read_forbidden_words

GLOSSARY = (
    '| word | meaning | never |\n'
    '| --- | --- | --- |\n'
    '| team | who submits | tenant, back end |\n'
    '\nAllowed phrases: `tenant farmer`.\n'
    'Allowed names: `Tenant`.\n'
)


class CatalogueTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        (self.root / 'docs').mkdir()
        (self.root / 'src/primroseledge').mkdir(parents=True)
        (self.root / 'docs/GLOSSARY.md').write_text(GLOSSARY)
        write_pages(self.root)

    def test_written_pages_have_no_problem(self) -> None:
        self.assertEqual(list(find_problems(self.root)), [])

    def test_a_page_that_differs_is_found(self) -> None:
        path = self.root / 'docs/EVENTS.md'
        path.write_text(path.read_text().replace('## 101', '## 100'))
        (problem,) = find_problems(self.root)
        self.assertIn('docs/EVENTS.md differs', problem)

    def test_a_forbidden_word_in_code_is_found_with_its_line(self) -> None:
        code = self.root / 'src/primroseledge/code.py'
        code.write_text('x = 1\nbackEnds = 2  # a tenant farmer\n')
        (problem,) = find_problems(self.root)
        self.assertIn("code.py:2: 'back end' is forbidden", problem)

    def test_an_allowed_name_is_no_allowed_comment(self) -> None:
        code = self.root / 'src/primroseledge/code.py'
        code.write_text('Tenant = 1\n# Tenant\nTenantId = 2\n')
        self.assertEqual(
            [line.split(' ')[0] for line in find_problems(self.root)],
            ['code.py:2:', 'code.py:3:'],
        )

    def test_names_comments_and_plurals(self) -> None:
        words = read_forbidden_words(GLOSSARY)
        for text in ('tenant_id', 'TenantId', '# two tenants', "'''Tenant'''"):
            self.assertEqual(
                list(find_uses(text, words, [])), [('tenant', 'team')], text
            )
        self.assertEqual(list(find_uses('lieutenant', words, [])), [])

    def test_settings_have_unit_default_and_range(self) -> None:
        self.assertIn(
            '| `freshness_s` | seconds | `2.0` | ≥ 0.2, ≤ 60 |',
            render_settings(),
        )
        self.assertIn('| `zone` |  | **required** |', render_settings())

    def test_events_show_number_and_advice(self) -> None:
        self.assertIn('## 206 stale (WARNING)', render_events())
