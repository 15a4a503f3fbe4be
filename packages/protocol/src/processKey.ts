import { hkdfSync } from "node:crypto";

const KEY_BYTES = 32;
const KEY_INFO = "persimmonpitch inner protocol 1";

/** Derives the pre-shared key of one process from the deployment key, so that an agent holds only its own key. */
export const deriveProcessKey = (deploymentKey: Buffer, processName: string): Buffer =>
    Buffer.from(hkdfSync("sha256", deploymentKey, processName, KEY_INFO, KEY_BYTES));
