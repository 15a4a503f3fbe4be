import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Collects garbage and returns the bytes of the heap that remain in use. */
export const collectGarbage = (): number => {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
};
