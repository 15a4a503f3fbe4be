/** One record of a CSV text with the line on which it begins. */
export interface CsvRecord {
    readonly line: number;
    readonly fields: readonly string[];
}

/** The records of a text, and the line of a quoted field that is never closed. */
export interface ParsedCsv {
    readonly records: readonly CsvRecord[];
    readonly openQuoteLine?: number;
}

// A field is quoted (with doubled quotes inside) or plain; a separator or the end of the text follows it.
const FIELD = /(?:"((?:[^"]|"")*)"|([^",\r\n]*))[ \t]*(,|\r?\n|\r|$)/y;

const isBlank = ({ fields }: CsvRecord): boolean => fields.every(field => field.trim() === "");

const countLines = (text: string): number => text.split(/\r\n|\n|\r/).length - 1;

/** Splits a CSV text (RFC 4180) into records; blank records are left out. */
export const parseCsv = (text: string): ParsedCsv => {
    const records: CsvRecord[] = [];
    let fields: string[] = [];
    let recordLine = 1;
    let line = 1;
    FIELD.lastIndex = 0;
    while (FIELD.lastIndex < text.length || fields.length > 0) {
        const match = FIELD.exec(text);
        if (match === null) {
            return { records, openQuoteLine: line };
        }
        const [whole, quoted, plain, separator] = match;
        fields.push(quoted?.replaceAll("\"\"", "\"") ?? plain?.trim() ?? "");
        line += countLines(whole);
        if (separator !== ",") {
            records.push({ line: recordLine, fields });
            fields = [];
            recordLine = line;
        }
    }
    return { records: records.filter(record => !isBlank(record)) };
};
