import { hash } from "node:crypto";

/** A digest keeps a few hundred thousand keys within the memory of a CI machine. */
const digest = (text: string): string => hash("sha256", text, "base64").slice(0, 22);

/** Texts of parts; states share most of their parts with the state that they follow. */
const texts = new WeakMap<object, string>();

const textOf = (part: object | number): string => {
    if (typeof part === "number") {
        return String(part);
    }
    const text = texts.get(part) ?? JSON.stringify(part);
    texts.set(part, text);
    return text;
};

/** The key of one state, from its parts. */
export const plainKey = (parts: readonly (object | number)[]): string => digest(parts.map(textOf).join());

/** One key for all states that differ only in names, from the state under each of the names. */
export const canonicalKey = (renamings: readonly object[]): string =>
    digest(renamings.map(state => JSON.stringify(state)).reduce((a, b) => a < b ? a : b));
