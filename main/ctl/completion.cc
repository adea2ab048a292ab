#include "main/ctl/completion.h"

namespace quetzalshelf::ctl {

namespace {

// Appends one case for the command at `path` and each command below it.
void AddCases(const CLI::App& app,
              const std::string& path,
              std::string& script) {
  std::string words;
  for (const CLI::App* it : app.get_subcommands({}))
    words += it->get_name() + " ";
  for (const CLI::Option* it : app.get_options()) {
    for (const std::string& name : it->get_lnames())
      words += "--" + name + " ";
  }
  script += "    \"" + path + "\") words=\"" + words + "\" ;;\n";
  for (const CLI::App* it : app.get_subcommands({}))
    AddCases(*it, path + "/" + it->get_name(), script);
}

}  // namespace

std::string BashCompletion(const CLI::App& app) {
  std::string cases;
  AddCases(app, "", cases);
  // The path of the command is the longest chain of words that has a case;
  // options and their values end it.
  return "_quetzalshelfctl() {\n"
         "  local path=\"\" words=\"\" i\n"
         "  for ((i = 1; i < COMP_CWORD; ++i)); do\n"
         "    [[ ${COMP_WORDS[i]} == -* ]] && continue\n"
         "    case \" $(_quetzalshelfctl_words \"$path\") \" in\n"
         "      *\" ${COMP_WORDS[i]} \"*) path+=\"/${COMP_WORDS[i]}\" ;;\n"
         "    esac\n"
         "  done\n"
         "  words=$(_quetzalshelfctl_words \"$path\")\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "_quetzalshelfctl_words() {\n"
         "  local words=\"\"\n"
         "  case \"$1\" in\n" +
         cases +
         "  esac\n"
         "  echo \"$words\"\n"
         "}\n"
         "complete -o default -F _quetzalshelfctl quetzalshelfctl\n";
}

}  // namespace quetzalshelf::ctl
