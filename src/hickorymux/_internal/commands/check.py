"""The command ``check``, which validates the table files."""

import dataclasses
from pathlib import Path
from typing import final

from hickorymux._internal.state.customers import CustomerKeys
from hickorymux._internal.state.rows import RowKind
from hickorymux._internal.state.table_files import TableFiles
from hickorymux._internal.utils.terminal import write_line


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class CheckCommand:
    """Check the two table files and report every error in them.

    :param routes: the routes table, a TOML file
    :param pools: the pools table, a TOML file
    :param customer_keys: the customers file, if it is to be checked too
    """

    routes: Path
    pools: Path
    customer_keys: Path | None = None

    def run(self) -> None:
        """Read and check the files; raise ``TablesInvalid`` on errors."""
        if self.customer_keys is not None:
            CustomerKeys.load(self.customer_keys)
        rows = TableFiles.load(self.routes, self.pools).rows
        counts = (
            f'{len(rows.names(kind))} {kind}s'
            for kind in (RowKind.route, RowKind.pool, RowKind.upstream)
        )
        write_line(f'the tables are valid: {", ".join(counts)}')
