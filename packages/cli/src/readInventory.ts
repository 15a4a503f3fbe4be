import type { Finding } from "@persimmonpitch/findings/finding.js";
import type { AssetRegister } from "@persimmonpitch/inventory/assetRegister.js";
import { parseInventory } from "@persimmonpitch/inventory/parseInventory.js";
import type { ParsedInventory } from "@persimmonpitch/inventory/parseInventory.js";
import { readAssetRegister } from "@persimmonpitch/inventory/readAssetRegister.js";
import { readText } from "@persimmonpitch/settings/readSettings.js";
import { err, ok } from "true-myth/result";
import type { Result } from "true-myth/result";
import type { CliFailure } from "./cliFailure.js";

type Findings = readonly Finding[];

const readRegister = (file: string | undefined): Result<AssetRegister, Findings> =>
    file === undefined ? ok({ vms: [], places: [] }) : readText(file).andThen(text => readAssetRegister(text, file));

/** Reads an operator's file and the register beside it; the faults of both are reported together. */
export const readInventory = (file: string, registerFile?: string): Result<ParsedInventory, CliFailure> => {
    const register = readRegister(registerFile);
    const vms = register.unwrapOr({ vms: [], places: [] });
    const inventory = readText(file).andThen(text => parseInventory(text, file, vms));
    const findings = [register, inventory].flatMap(result => result.isErr ? result.error : []);
    return inventory.isOk && findings.length === 0
        ? ok(inventory.value)
        : err({ kind: "input", findings });
};
