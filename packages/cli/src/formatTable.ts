type Cell = string | number | boolean | undefined;

const textOf = (cell: Cell): string => cell === undefined ? "-" : String(cell);

/** Aligns rows below their headings; columns of numbers are aligned to the right. */
export const formatTable = (headings: readonly string[], rows: readonly (readonly Cell[])[]): string => {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => textOf(row[column]).length))
    );
    const isNumeric = headings.map((_, column) =>
        rows.some(row => typeof row[column] === "number")
        && rows.every(row => typeof row[column] === "number" || row[column] === undefined)
    );
    const formatRow = (row: readonly Cell[]): string =>
        widths.map((width, column) => {
            const text = textOf(row[column]);
            return isNumeric[column] === true ? text.padStart(width) : text.padEnd(width);
        }).join("  ").trimEnd();
    return [headings, ...rows].map(formatRow).join("\n");
};

/** Joins titled tables; a table without rows is left out. */
export const formatSections = (
    sections: readonly (readonly [title: string, headings: readonly string[], rows: readonly (readonly Cell[])[]])[],
): string =>
    sections
        .filter(([, , rows]) => rows.length > 0)
        .map(([title, headings, rows]) => `${title}\n${formatTable(headings, rows)}`)
        .join("\n\n");

/** A wall time as people read it, in UTC. */
export const formatTime = (wallTime: number): string => {
    const date = new Date(wallTime);
    return Number.isNaN(date.getTime()) ? String(wallTime) : date.toISOString();
};
