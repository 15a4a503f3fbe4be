import type { Finding, Place } from "@persimmonpitch/findings/finding.js";
import type { ConfigurationBody, Guarantee, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import { teamSchema } from "@persimmonpitch/schema/configuration.js";
import type { KeyPath } from "@persimmonpitch/settings/keyPath.js";
import { formatKeyPath } from "@persimmonpitch/settings/keyPath.js";
import type { ParsedToml } from "@persimmonpitch/settings/parseToml.js";
import { parseTomlWithLines } from "@persimmonpitch/settings/parseToml.js";
import type { Result } from "true-myth/result";
import type { AssetRegister } from "./assetRegister.js";
import { inventoryFileSchema } from "./inventoryFile.js";
import type { InventoryFile, RackTable, TeamTable } from "./inventoryFile.js";
import type { InventoryPlaces } from "./inventoryPlaces.js";

/** An operator's file as a configuration body, with the places of its parts. */
export interface ParsedInventory {
    readonly body: ConfigurationBody;
    readonly places: InventoryPlaces;
    /** Whether the file says which VMs are drained; if not, a load keeps the drains in force. */
    readonly setsDrained: boolean;
}

interface Placed<T> {
    readonly value: T;
    readonly place: Place;
}

/** Leaves out the guarantees, which the body holds in a list of their own. */
const teamOnlySchema = teamSchema.strip();

type PlaceOf = (path: KeyPath) => Place;

const vmsOfRack = (
    { id, vms, ...common }: RackTable,
    index: number,
    placeOf: PlaceOf,
): readonly Placed<InventoryVm>[] =>
    vms.map((vmId, position) => ({
        value: { ...common, id: vmId, rack: id },
        place: placeOf(["rack", index, "vms", position]),
    }));

const vmsOfFile = (file: InventoryFile, placeOf: PlaceOf): readonly Placed<InventoryVm>[] => [
    ...file.vm.map((value, index) => ({ value, place: placeOf(["vm", index]) })),
    ...file.rack.flatMap((rack, index) => vmsOfRack(rack, index, placeOf)),
];

const vmsOfRegister = ({ vms, places }: AssetRegister): readonly Placed<InventoryVm>[] =>
    vms.map((value, index) => ({ value, place: places[index] ?? {} }));

const guaranteesOfTeam = (
    { id, guarantee }: TeamTable,
    index: number,
    placeOf: PlaceOf,
): readonly Placed<Guarantee>[] =>
    guarantee.map((value, position) => ({
        value: { ...value, team: id },
        place: placeOf(["team", index, "guarantee", position]),
    }));

const toInventory = (
    { value: file, lineOf }: ParsedToml<InventoryFile>,
    fileName: string,
    register: AssetRegister,
): ParsedInventory => {
    const placeOf: PlaceOf = path => {
        const line = lineOf(path);
        return line === undefined
            ? { file: fileName, path: formatKeyPath(path) }
            : { file: fileName, line, path: formatKeyPath(path) };
    };
    const placesOf = (name: string, list: readonly unknown[]) => list.map((_, index) => placeOf([name, index]));
    const vms = [...vmsOfFile(file, placeOf), ...vmsOfRegister(register)];
    const guarantees = file.team.flatMap((team, index) => guaranteesOfTeam(team, index, placeOf));
    const drained = file.drained ?? [];
    return {
        body: {
            vms: vms.map(({ value }) => value),
            teams: file.team.map(team => teamOnlySchema.parse(team)),
            operators: file.operator,
            guarantees: guarantees.map(({ value }) => value),
            rules: file.rules,
            drained,
        },
        places: {
            vms: vms.map(({ place }) => place),
            teams: placesOf("team", file.team),
            operators: placesOf("operator", file.operator),
            guarantees: guarantees.map(({ place }) => place),
            drained: placesOf("drained", drained),
            rules: placeOf(["rules"]),
            whole: { file: fileName },
        },
        setsDrained: file.drained !== undefined,
    };
};

const EMPTY_REGISTER: AssetRegister = { vms: [], places: [] };

/** Parses an operator's TOML text; VMs of an asset register are added to those of the text. */
export const parseInventory = (
    text: string,
    fileName: string,
    register: AssetRegister = EMPTY_REGISTER,
): Result<ParsedInventory, readonly Finding[]> =>
    parseTomlWithLines(text, fileName, inventoryFileSchema).map(parsed => toInventory(parsed, fileName, register));
