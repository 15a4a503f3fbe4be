import { createHash } from "node:crypto";

/** SHA-256 of a text in lower-case hexadecimal. */
export const digestOf = (text: string): string => createHash("sha256").update(text).digest("hex");
