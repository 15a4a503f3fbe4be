/** Keys and array indexes from the root of a document to one value. */
export type KeyPath = readonly (string | number)[];

const BARE_KEY = /^[A-Za-z0-9_-]+$/;

/** Writes a path as `rack[2].vms[0]`; keys that are not bare are quoted. */
export const formatKeyPath = (path: KeyPath): string =>
    path.reduce<string>((text, part) => {
        if (typeof part === "number") {
            return `${text}[${part}]`;
        }
        const key = BARE_KEY.test(part) ? part : JSON.stringify(part);
        return text === "" ? key : `${text}.${key}`;
    }, "");
