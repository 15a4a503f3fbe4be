import { parse } from "smol-toml";
import type { KeyPath } from "./keyPath.js";

/** Finds the line of a key, or of the nearest key above it that stands in the text. */
export type LineOf = (path: KeyPath) => number | undefined;

const BARE_CHARACTER = /[A-Za-z0-9_-]/;
const SCALAR_END = /[,\]}#\n]/;

const idOf = (path: KeyPath): string => JSON.stringify(path);

/** Walks a text that the TOML parser has accepted, and notes the line on which each key and element begins. */
class KeyScanner {
    readonly lines = new Map<string, number>();
    private readonly tableCounts = new Map<string, number>();
    private offset = 0;
    private line = 1;

    constructor(private readonly text: string) {}

    scan(): void {
        let table: KeyPath = [];
        for (;;) {
            this.skipBlank();
            if (this.isAtEnd()) {
                return;
            }
            if (this.peek() === "[") {
                table = this.scanHeader();
            }
            else {
                this.scanPair(table);
            }
        }
    }

    private scanHeader(): KeyPath {
        const line = this.line;
        const isArray = this.text.startsWith("[[", this.offset);
        this.advance(isArray ? 2 : 1);
        const path = this.resolve(this.scanKey());
        this.advance(isArray ? 2 : 1);
        if (!isArray) {
            this.note(path, line);
            return path;
        }
        const index = this.tableCounts.get(idOf(path)) ?? 0;
        this.tableCounts.set(idOf(path), index + 1);
        this.note(path, line);
        this.note([...path, index], line);
        return [...path, index];
    }

    /** A header below an array of tables means its latest element. */
    private resolve(keys: readonly string[]): KeyPath {
        return keys.reduce<KeyPath>((path, key, index) => {
            const here = [...path, key];
            const count = this.tableCounts.get(idOf(here));
            return count === undefined || index === keys.length - 1 ? here : [...here, count - 1];
        }, []);
    }

    private scanPair(table: KeyPath): void {
        const line = this.line;
        const path = [...table, ...this.scanKey()];
        this.advance(1);
        for (let length = table.length + 1; length <= path.length; length += 1) {
            this.note(path.slice(0, length), line);
        }
        this.skipBlank();
        this.scanValue(path);
    }

    private scanKey(): readonly string[] {
        const keys: string[] = [];
        for (;;) {
            this.skipBlank();
            keys.push(this.scanKeyPart());
            this.skipBlank();
            if (this.peek() !== ".") {
                return keys;
            }
            this.advance(1);
        }
    }

    private scanKeyPart(): string {
        const start = this.offset;
        const quote = this.peek();
        if (quote === "\"" || quote === "'") {
            this.skipString();
            // The parser undoes the escapes, so that keys here equal the keys of the parsed document.
            return Object.keys(parse(`${this.text.slice(start, this.offset)} = 0`))[0] ?? "";
        }
        while (BARE_CHARACTER.test(this.peek())) {
            this.advance(1);
        }
        if (this.offset === start) {
            this.advance(1);
        }
        return this.text.slice(start, this.offset);
    }

    private scanValue(path: KeyPath): void {
        const first = this.peek();
        if (first === "\"" || first === "'") {
            this.skipString();
        }
        else if (first === "[") {
            this.scanList("]", index => {
                this.note([...path, index], this.line);
                this.scanValue([...path, index]);
            });
        }
        else if (first === "{") {
            this.scanList("}", () => {
                this.scanPair(path);
            });
        }
        else {
            while (!this.isAtEnd() && !SCALAR_END.test(this.peek())) {
                this.advance(1);
            }
        }
    }

    private scanList(close: string, scanElement: (index: number) => void): void {
        this.advance(1);
        for (let index = 0; !this.isAtEnd(); index += 1) {
            this.skipBlank();
            if (this.peek() === close) {
                break;
            }
            scanElement(index);
            this.skipBlank();
            if (this.peek() === ",") {
                this.advance(1);
            }
        }
        this.advance(1);
    }

    private skipString(): void {
        const quote = this.peek();
        const isMultiline = this.text.startsWith(quote.repeat(3), this.offset);
        const close = isMultiline ? quote.repeat(3) : quote;
        this.advance(close.length);
        while (!this.isAtEnd() && !this.text.startsWith(close, this.offset)) {
            this.advance(quote === "\"" && this.peek() === "\\" ? 2 : 1);
        }
        this.advance(close.length);
        // Up to two quotes may stand directly before the closing three.
        while (isMultiline && this.peek() === quote) {
            this.advance(1);
        }
    }

    private skipBlank(): void {
        while (!this.isAtEnd()) {
            if (this.peek() === "#") {
                this.skipComment();
            }
            else if (/\s/.test(this.peek())) {
                this.advance(1);
            }
            else {
                return;
            }
        }
    }

    private skipComment(): void {
        while (!this.isAtEnd() && this.peek() !== "\n") {
            this.advance(1);
        }
    }

    private note(path: KeyPath, line: number): void {
        const id = idOf(path);
        if (!this.lines.has(id)) {
            this.lines.set(id, line);
        }
    }

    private advance(count: number): void {
        for (let step = 0; step < count && !this.isAtEnd(); step += 1) {
            if (this.peek() === "\n") {
                this.line += 1;
            }
            this.offset += 1;
        }
    }

    private peek(): string {
        return this.text.charAt(this.offset);
    }

    private isAtEnd(): boolean {
        return this.offset >= this.text.length;
    }
}

/** Indexes the lines of all keys of a valid TOML text; the parser itself keeps no positions. */
export const keyLines = (text: string): LineOf => {
    const scanner = new KeyScanner(text);
    scanner.scan();
    return path => {
        for (let length = path.length; length > 0; length -= 1) {
            const line = scanner.lines.get(idOf(path.slice(0, length)));
            if (line !== undefined) {
                return line;
            }
        }
        return undefined;
    };
};
