import { setMaxListeners } from "node:events";

/**
 * Makes an abort controller whose signal any number of tasks may listen to at a time. Node.js takes more than ten
 * listeners of one signal for a leak and prints a warning.
 */
export const createSharedAbortController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};
