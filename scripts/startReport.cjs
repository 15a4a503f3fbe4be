// Preloaded by checkStart.mjs: on SIGUSR2 it writes what the process has used since its start.
"use strict";
const { writeFileSync } = require("node:fs");

process.on("SIGUSR2", () => {
    const { user, system } = process.cpuUsage();
    const report = { cpuMs: (user + system) / 1_000, modules: process.moduleLoadList };
    writeFileSync(`${process.env.START_REPORT}.${process.pid}`, JSON.stringify(report));
});
