import type { Finding, Place } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageTable } from "@persimmonpitch/findings/messageTable.js";
import type { InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { inventoryVmSchema } from "@persimmonpitch/schema/configuration.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { AssetRegister } from "./assetRegister.js";
import type { CsvRecord } from "./parseCsv.js";
import { parseCsv } from "./parseCsv.js";

type MessageId = "emptyRegister" | "openQuote" | "missingColumn" | "repeatedColumn" | "fieldCount" | "invalidField";

const messages: MessageTable<MessageId> = {
    emptyRegister: "The register has no header line.",
    openQuote: "A quoted field is not closed, or text follows its closing quote.",
    missingColumn: "The column \"{column}\" is missing.",
    repeatedColumn: "The column \"{column}\" is named more than once.",
    fieldCount: "The line has {actual} fields, but the header has {expected}.",
    invalidField: "The field is not valid: {detail}.",
};

type Column = keyof InventoryVm;

type FieldReader = (text: string) => string | number | undefined;

const readText: FieldReader = text => text === "" ? undefined : text;

// Only plain decimal numbers: Number() alone would also accept "", "0x10" and "1e3".
const readNumber: FieldReader = text => /^\d+(\.\d+)?$/.test(text) ? Number(text) : readText(text);

const readers: { readonly [C in Column]-?: FieldReader; } = {
    id: readText,
    rack: readText,
    dataCentre: readText,
    kind: readText,
    service: readText,
    cores: readNumber,
    memoryMb: readNumber,
    accelerators: readNumber,
};

const columns = Object.keys(readers) as readonly Column[];
const optionalColumns: readonly Column[] = ["service"];

/** Registers write "Data Centre", "data_centre" or "dataCentre"; all mean the same column. */
const normalize = (heading: string): string => heading.toLowerCase().replaceAll(/[\s_-]/g, "");

interface Header {
    readonly width: number;
    readonly indexes: ReadonlyMap<Column, number>;
}

const readHeader = ({ fields, line }: CsvRecord, file: string): Result<Header, readonly Finding[]> => {
    const headings = fields.map(normalize);
    const findings: Finding[] = [];
    const indexes = new Map<Column, number>();
    for (const column of columns) {
        const index = headings.indexOf(normalize(column));
        if (index >= 0) {
            indexes.set(column, index);
        }
        else if (!optionalColumns.includes(column)) {
            findings.push(findingOf(messages, "missingColumn", { file, line }, { column }));
        }
        if (index !== headings.lastIndexOf(normalize(column))) {
            findings.push(findingOf(messages, "repeatedColumn", { file, line }, { column }));
        }
    }
    return findings.length > 0 ? err(findings) : ok({ width: fields.length, indexes });
};

const readVm = (
    { fields }: CsvRecord,
    { width, indexes }: Header,
    place: Place,
): Result<InventoryVm, readonly Finding[]> => {
    if (fields.length !== width) {
        return err([findingOf(messages, "fieldCount", place, { actual: fields.length, expected: width })]);
    }
    const entries = [...indexes].map(([column, index]) => [column, readers[column](fields[index] ?? "")] as const);
    const checked = inventoryVmSchema.safeParse(Object.fromEntries(entries.filter(([, value]) => value !== undefined)));
    if (checked.success) {
        return ok(checked.data);
    }
    return err(
        checked.error.issues.map(({ path, message }) =>
            findingOf(messages, "invalidField", { ...place, path: path.join(".") }, {
                detail: message.replace("Invalid input: ", ""),
            })
        ),
    );
};

/** Reads the CSV export of an asset register; columns that the inventory does not know are left out. */
export const readAssetRegister = (text: string, file: string): Result<AssetRegister, readonly Finding[]> => {
    // Spreadsheets put a byte order mark before the first heading.
    const { records, openQuoteLine } = parseCsv(text.replace(/^\uFEFF/, ""));
    if (openQuoteLine !== undefined) {
        return err([findingOf(messages, "openQuote", { file, line: openQuoteLine })]);
    }
    const [first, ...rows] = records;
    if (first === undefined) {
        return err([findingOf(messages, "emptyRegister", { file })]);
    }
    return readHeader(first, file).andThen(header => {
        const places = rows.map(({ line }): Place => ({ file, line }));
        const results = rows.map((row, index) => readVm(row, header, places[index] ?? {}));
        const findings = results.flatMap(result => result.isErr ? result.error : []);
        return findings.length > 0
            ? err(findings)
            : ok({ vms: results.flatMap(result => result.isOk ? [result.value] : []), places });
    });
};
