"""Tests of the check of imports between packages.

They guard against a check that passes an import from a lower layer.
"""

from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from tools.package_layers import find_upward_imports


class PackageLayersTest(unittest.TestCase):
    def find(self, package: str, imported: str) -> list[str]:
        with TemporaryDirectory() as folder:
            (Path(folder) / package).mkdir()
            module = Path(folder) / package / 'module.py'
            module.write_text(f'from primroseledge.{imported}.name import X\n')
            return list(find_upward_imports(Path(folder)))

    def test_an_import_from_a_higher_layer_is_found(self) -> None:
        self.assertEqual(1, len(self.find('jobs', 'scheduling')))
        self.assertEqual(1, len(self.find('dispatch', 'maintenance')))

    def test_an_import_from_a_lower_layer_is_accepted(self) -> None:
        self.assertEqual([], self.find('scheduling', 'jobs'))
        self.assertEqual([], self.find('owner', 'observability'))


if __name__ == '__main__':
    unittest.main()
