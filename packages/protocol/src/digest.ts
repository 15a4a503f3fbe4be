import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of a text's UTF-8 bytes in lower-case hexadecimal. */
export const digestOf = (text: string): string => createHash("sha256").update(text).digest("hex");
