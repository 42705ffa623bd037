// Generates the bash completion script from the table of commands.
#include <map>
#include <set>

#include "control/internal/command_table.h"

namespace acacialug::control {
namespace {

// "a" -> what may follow; "a b" -> what may follow; ...
using NextWords = std::map<std::string, std::set<std::string>>;

constexpr char kFiles[] = "FILE";

NextWords NextWordsOf(const std::vector<CommandRow>& table) {
  NextWords next;
  for (const CommandRow& row : table) {
    const std::size_t space = row.words.find(' ');
    const std::string first = row.words.substr(0, space);
    next[""].insert(first);
    if (space != std::string::npos) {
      next[first].insert(row.words.substr(space + 1));
    }
  }
  return next;
}

std::string Joined(const std::set<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

// The words on the line that are neither flags nor their values. Bash breaks
// words also at "=" and ":", as in --log=127.0.0.1:80.
std::string PathLoop(const std::vector<CommandFlag>& flags) {
  std::string valued;
  for (const CommandFlag& flag : flags) {
    if (flag.takes_value) {
      valued += (valued.empty() ? "--" : " | --") + flag.name;
    }
  }
  return "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
         "    case \"${COMP_WORDS[i]}\" in\n"
         "      = | :) skip=1 ;;\n" +
         (valued.empty()
              ? std::string()
              : "      " + valued +
                    ")\n"
                    "        # Its value is the next word; after \"=\", see "
                    "above.\n"
                    "        skip=1 ;;\n") +
         "      -*) skip=0 ;;\n"
         "      *)\n"
         "        ((skip)) || path+=\"${path:+ }${COMP_WORDS[i]}\"\n"
         "        skip=0 ;;\n"
         "    esac\n"
         "  done\n";
}

std::string Offer(const std::string& path, const std::string& words) {
  return "    '" + path + "') mapfile -t COMPREPLY < <(compgen -W '" + words +
         "' -- \"$word\") ;;\n";
}

std::string OfferFiles(const std::string& path) {
  return "    '" + path +
         "') mapfile -t COMPREPLY < <(compgen -f -- \"$word\") ;;\n";
}

}  // namespace

std::string BashCompletion(const std::vector<CommandFlag>& flags) {
  std::set<std::string> flag_words;
  for (const CommandFlag& flag : flags) {
    flag_words.insert("--" + flag.name + (flag.takes_value ? "=" : ""));
  }
  std::string script =
      "# bash completion of acacialugctl; made by `acacialugctl completion "
      "bash`.\n"
      "_acacialugctl() {\n"
      "  local word=\"${COMP_WORDS[COMP_CWORD]}\" path='' skip=0 i\n" +
      PathLoop(flags) +
      "  COMPREPLY=()\n"
      "  ((skip)) && return\n"
      "  if [[ $word == -* ]]; then\n"
      "    mapfile -t COMPREPLY < <(compgen -W '" +
      Joined(flag_words) +
      "' -- \"$word\")\n"
      "    [[ ${COMPREPLY[0]-} == *= ]] && compopt -o nospace 2>/dev/null\n"
      "    return\n"
      "  fi\n"
      "  case \"$path\" in\n";
  for (const auto& [path, words] : NextWordsOf(CommandTable())) {
    script += Offer(path, Joined(words));
  }
  for (const CommandRow& row : CommandTable()) {
    if (row.arguments == kFiles) {
      script += OfferFiles(row.words);
    }
  }
  return script +
         "  esac\n"
         "}\n"
         "complete -F _acacialugctl acacialugctl\n";
}

int RunCompletionCommand(CommandContext& context,
                         const std::vector<std::string>& rest) {
  if (rest != std::vector<std::string>{"bash"}) {
    return context.PrintError(CommandExit::kUsage, "completion: expected bash");
  }
  context.options.print(BashCompletion(context.options.flags));
  return static_cast<int>(CommandExit::kOk);
}

}  // namespace acacialug::control
