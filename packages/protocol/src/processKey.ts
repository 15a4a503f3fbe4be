import { hkdfSync } from "node:crypto";

const KEY_BYTES = 32;
const KEY_INFO = "persimmonpitch inner protocol 1";

/** Derives the key of one process from the key of the deployment, so that an agent holds only its own. */
export const deriveProcessKey = (deploymentKey: Buffer, processName: string): Buffer =>
    Buffer.from(hkdfSync("sha256", deploymentKey, processName, KEY_INFO, KEY_BYTES));
