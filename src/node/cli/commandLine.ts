import { Command, CommanderError } from "commander";
import type { Result } from "true-myth/result";
import type { GoldcrestpointError } from "../../types/index.js";
import { renderEventsDocumentation } from "../logging/index.js";
import { renderSettingsDocumentation, resolveOperatorSettings } from "../settings/index.js";
import {
    daemonCommands,
    type OperatorCommand,
    operatorCommands,
    type ProgramCommand,
    standInCommands,
} from "./commandTable.js";
import { chooseExitCode, type ExitCode, exitCodes, exitCodesHelp } from "./exitCodes.js";
import { readSettingsSources } from "./settingsFlags.js";
import type { CommandLineDependencies, CommandOptions, OperatorContext } from "./types.js";

/** Receives the exit code of the command that was run. */
type ExitCodeReceiver = (code: ExitCode) => void;

function collectValues(value: string, previous: readonly string[] = []): readonly string[] {
    return [...previous, value];
}

function addCommonOptions(command: Command, example: string): Command {
    return command
        .option("--settings <file>", "settings file (INI)")
        .option("--set <section.key=value>", "one setting; may be given more than once", collectValues)
        .addHelpText("after", `\nExample:\n  ${example}\n\n${exitCodesHelp}`);
}

function describeError(error: GoldcrestpointError): object {
    const { code, step, peer, message, mayHaveTakenEffect } = error;
    return { error: { code, step, peer, message, mayHaveTakenEffect } };
}

function reportError(dependencies: CommandLineDependencies, error: GoldcrestpointError, json: boolean): ExitCode {
    if (json) {
        dependencies.writeOutput(`${JSON.stringify(describeError(error))}\n`);
    }
    dependencies.writeError(`goldcrestpoint: ${error.code} at ${error.step} (${error.peer})\n${error.message}\n`);
    return chooseExitCode(error.code);
}

async function runOperatorCommand(
    dependencies: CommandLineDependencies,
    command: OperatorCommand,
    argument: string,
    options: CommandOptions,
): Promise<Result<ExitCode, GoldcrestpointError>> {
    const sources = readSettingsSources(dependencies.environment, options);
    const settings = sources.andThen(resolveOperatorSettings);
    if (settings.isErr) {
        return settings.map(() => exitCodes.usage);
    }
    const ports = await dependencies.createPorts(settings.value);
    const context: OperatorContext = {
        ports,
        settings: settings.value,
        emit: ({ text, json }) =>
            dependencies.writeOutput(`${options["json"] === true ? JSON.stringify(json) : text}\n`),
        warn: line => dependencies.writeError(`goldcrestpoint: ${line}\n`),
    };
    try {
        return await command.run(context, argument, options);
    }
    finally {
        await ports[Symbol.asyncDispose]();
    }
}

function addOperatorCommand(
    parent: Command,
    dependencies: CommandLineDependencies,
    definition: OperatorCommand,
    finish: ExitCodeReceiver,
): void {
    const command = addCommonOptions(parent.command(definition.usage), definition.example)
        .description(definition.description)
        .option("--json", "write one JSON document instead of text");
    for (const [flags, description] of Object.entries(definition.options)) {
        command.option(flags, description);
    }
    command.action(async () => {
        const options = command.opts<CommandOptions>();
        const outcome = await runOperatorCommand(dependencies, definition, command.args[0] ?? "", options);
        finish(outcome.unwrapOrElse(error => reportError(dependencies, error, options["json"] === true)));
    });
}

function addProgramCommand(
    parent: Command,
    dependencies: CommandLineDependencies,
    { name, description, example }: ProgramCommand,
    finish: ExitCodeReceiver,
): void {
    const command = addCommonOptions(parent.command(name), example).description(description);
    command.action(async () => {
        const sources = readSettingsSources(dependencies.environment, command.opts<CommandOptions>());
        if (sources.isErr) {
            finish(reportError(dependencies, sources.error, false));
            return;
        }
        const ended = await dependencies.programs[name](sources.value);
        finish(ended.mapOr(exitCodes.success, () => exitCodes.success));
        if (ended.isErr) {
            finish(reportError(dependencies, ended.error, false));
        }
    });
}

function createProgram(dependencies: CommandLineDependencies, finish: ExitCodeReceiver): Command {
    const program = new Command("goldcrestpoint")
        .description("distributes model weights in bursts and routes live requests")
        .exitOverride()
        .configureOutput({ writeOut: dependencies.writeOutput, writeErr: dependencies.writeError })
        .addHelpText("after", `\n${exitCodesHelp}`);
    daemonCommands.forEach(definition => addProgramCommand(program, dependencies, definition, finish));
    operatorCommands.forEach(definition => addOperatorCommand(program, dependencies, definition, finish));
    const standIn = program.command("stand-in").description("run a stand-in, for tests and the demo only");
    standInCommands.forEach(definition => addProgramCommand(standIn, dependencies, definition, finish));
    program.command("settings")
        .description("write the reference of all settings as Markdown")
        .action(() => dependencies.writeOutput(renderSettingsDocumentation()));
    program.command("events")
        .description("write the reference of all log lines as Markdown")
        .action(() => dependencies.writeOutput(renderEventsDocumentation()));
    return program;
}

/**
 * Runs one command.
 *
 * @param commandArguments - command line arguments after the program's name
 * @param dependencies - environment variables, output, clients and programs
 * @returns the exit code
 */
export async function runCommandLine(
    commandArguments: readonly string[],
    dependencies: CommandLineDependencies,
): Promise<ExitCode> {
    let exitCode: ExitCode = exitCodes.success;
    const program = createProgram(dependencies, code => {
        exitCode = code;
    });
    try {
        await program.parseAsync(commandArguments, { from: "user" });
        return exitCode;
    }
    catch (error) {
        if (error instanceof CommanderError) {
            return error.exitCode === 0 ? exitCodes.success : exitCodes.usage;
        }
        throw error;
    }
}
