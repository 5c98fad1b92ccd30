import { apply } from "./commands/apply.js";
import { explain } from "./commands/explain.js";
import { explainRoute } from "./commands/explainRoute.js";
import { plan } from "./commands/plan.js";
import { rollback } from "./commands/rollback.js";
import { status } from "./commands/status.js";
import { validate } from "./commands/validate.js";
import type { CommandHandler } from "./types.js";

/** Operator command, with its help texts and its handler. */
export interface OperatorCommand {
    /** Name and argument in commander's syntax. */
    readonly usage: string;
    readonly description: string;
    /** Descriptions of the options, by their flags in commander's syntax. */
    readonly options: Readonly<Record<string, string>>;
    readonly example: string;
    readonly run: CommandHandler;
}

const baseOption = {
    "--base <revision>": "revision on which the change is based; refused if another one is in force (default: newest)",
};

/** Operator commands in the order of the help. */
export const operatorCommands: readonly OperatorCommand[] = [
    {
        usage: "validate <file>",
        description: "check a declaration or a settings file",
        options: {},
        example: "goldcrestpoint validate examples/roots-and-branches/scribe.ini",
        run: validate,
    },
    {
        usage: "plan <file>",
        description: "show what apply would change",
        options: baseOption,
        example: "goldcrestpoint plan examples/roots-and-branches/scribe.ini --json",
        run: plan,
    },
    {
        usage: "apply <file>",
        description: "make a declaration the configuration in force",
        options: baseOption,
        example: "goldcrestpoint apply examples/roots-and-branches/scribe.ini --base 4",
        run: apply,
    },
    {
        usage: "status",
        description:
            "show wanted, complete and serving copies by deployment, version and availability zone, and evacuated zones",
        options: { "--watch": "repeat until interrupted" },
        example: "goldcrestpoint status --watch --set operator.entryUrls=http://10.0.1.5:7402",
        run: status,
    },
    {
        usage: "rollback <deployment>",
        description: "write a new revision with the content of an earlier one",
        options: { "--to <revision>": "revision to bring back (default: the one before the newest)" },
        example: "goldcrestpoint rollback scribe --to 3",
        run: rollback,
    },
    {
        usage: "explain <request-id>",
        description: "show the decisions on a request, or the placement decisions on a deployment",
        options: { "--logs <file...>": "join the lines of log files instead of asking entry instances" },
        example: "goldcrestpoint explain 0198f2c0-6b1e-7c32-9d1f-0a4b5c6d7e8f",
        run: explain,
    },
    {
        usage: "explain-route <path>",
        description: "show where a gateway would send a request now, and why; the request is not sent",
        options: {
            "--gateway <url>": "base URL of the gateway's metrics address",
            "--header <lines...>": "headers of the request, each as NAME: VALUE",
            "--headers <file>": "file with the headers of the request, one NAME: VALUE a line",
        },
        example: "goldcrestpoint explain-route /scribe/ --gateway http://10.0.1.5:7404 --headers request.txt",
        run: explainRoute,
    },
];

/** Daemon or stand-in, with its help texts. */
export interface ProgramCommand {
    readonly name: "entry" | "agent" | "platform" | "engine" | "service";
    readonly description: string;
    readonly example: string;
}

/** Daemons in the order of the help. */
export const daemonCommands: readonly ProgramCommand[] = [
    {
        name: "entry",
        description: "run an entry instance",
        example: "goldcrestpoint entry --settings examples/roots-and-branches/entry.ini",
    },
    {
        name: "agent",
        description: "run the agent beside a backend server",
        example: "goldcrestpoint agent --settings examples/roots-and-branches/scribe-agent.ini",
    },
];

/** Stand-ins in the order of the help. */
export const standInCommands: readonly ProgramCommand[] = [
    {
        name: "platform",
        description: "run a stand-in of the log, the instance list, the weight store and the origin",
        example: "goldcrestpoint stand-in platform --set standInPlatform.httpAddress=127.0.0.1:7400",
    },
    {
        name: "engine",
        description: "run a stand-in of a model engine",
        example: "goldcrestpoint stand-in engine --set standInEngine.checksFencing=false",
    },
    {
        name: "service",
        description: "run a stand-in of a plain service",
        example: "goldcrestpoint stand-in service",
    },
];
