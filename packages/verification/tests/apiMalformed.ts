import fc from "fast-check";

export const INPUTS = 10_000;

/** Values that often break a check: wrong types, limits, separators and names of built-in properties. */
const ODD_VALUES = [
    null,
    true,
    false,
    0,
    -1,
    1.5,
    1e21,
    "",
    " ",
    "a/b",
    "../x",
    "\u0000",
    "\ud800",
    "__proto__",
    "constructor",
    "x".repeat(300),
    [],
    {},
    [[]],
    { toString: 1 },
    [null],
] as const;

export const oddValue: fc.Arbitrary<unknown> = fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue({ maxDepth: 3 }));

type Json = Readonly<Record<string, unknown>> | readonly unknown[];

const isContainer = (value: unknown): value is Json => typeof value === "object" && value !== null;

/** Paths of all fields of a value, at every depth. */
const pathsOf = (value: unknown, path: readonly string[] = []): readonly (readonly string[])[] =>
    isContainer(value)
        ? Object.entries(value).flatMap(([key, item]) => [[...path, key], ...pathsOf(item, [...path, key])])
        : [];

const withField = (
    value: unknown,
    [key = "", ...rest]: readonly string[],
    change: (old: unknown) => unknown,
): unknown => {
    const copy: Record<string, unknown> | unknown[] = Array.isArray(value)
        ? [...value as unknown[]]
        : { ...value as Record<string, unknown> };
    const record = copy as Record<string, unknown>;
    const changed = rest.length === 0 ? change(record[key]) : withField(record[key], rest, change);
    if (changed === undefined) {
        return Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));
    }
    record[key] = changed;
    return copy;
};

/** A valid value with one field replaced, removed or added. */
export const oneFieldChanged = (valid: readonly object[]): fc.Arbitrary<unknown> =>
    fc.constantFrom(...valid).chain(value => {
        const replaced = fc.tuple(fc.constantFrom(...pathsOf(value)), oddValue)
            .map(([path, odd]) => withField(value, path, () => odd));
        const removed = fc.constantFrom(...pathsOf(value)).map(path => withField(value, path, () => undefined));
        const added = fc.tuple(fc.string({ maxLength: 8 }), oddValue).map(([key, odd]) => ({ ...value, [key]: odd }));
        return fc.oneof(replaced, removed, added);
    });

/** Texts that are not JSON, among them cut JSON. */
export const brokenText = (valid: readonly object[]): fc.Arbitrary<string> =>
    fc.oneof(
        fc.string({ maxLength: 64 }),
        fc.string({ unit: "binary", maxLength: 64 }),
        fc.tuple(fc.constantFrom(...valid), fc.nat(200)).map(([value, cut]) => JSON.stringify(value).slice(0, cut)),
    );
