import type { InspectOptions } from "node:util";
import { inspect } from "node:util";

/** Nothing is cut off, and keys are sorted, so that only a change of the value changes the text. */
const FORMAT: InspectOptions = {
    depth: Infinity,
    breakLength: 120,
    compact: 6,
    sorted: true,
    maxArrayLength: Infinity,
    maxStringLength: Infinity,
};

/** Formats a snapshot compactly: a case takes a few lines, so that a change is seen at a glance. */
export const formatSnapshot = (value: unknown): string => typeof value === "string" ? value : inspect(value, FORMAT);
