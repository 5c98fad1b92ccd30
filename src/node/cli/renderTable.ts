/**
 * Renders a table as text, with columns as wide as their widest cell.
 *
 * @param rows - headings and rows with equal numbers of cells
 * @returns the lines
 */
export function renderTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = rows[0]!.map((...[, column]) => Math.max(...rows.map(row => row[column]!.length)));
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd());
}
