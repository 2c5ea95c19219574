# Bash completion for limpetctl. Source this file, or install it as
# /usr/share/bash-completion/completions/limpetctl.

_limpetctl()
{
    local current=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD - 1]}
    local change="--who= --why= --store= --json"
    local wait="--wait --node= --limit="
    local words=""

    case ${COMP_WORDS[1]} in
    check) words="--json" ;;
    diff | outcome) words="--store= --json" ;;
    apply) words="$change $wait --base=" ;;
    revert) words="$change $wait" ;;
    show) words="--revision= --store= --json" ;;
    history) words="--count= --store= --json" ;;
    key) words="$change" ;;
    status) words="--node= --json" ;;
    drain | undrain) words="--json" ;;
    explain) words="--team= --node= --json" ;;
    esac

    if [ "$COMP_CWORD" -eq 1 ]; then
        words="check diff apply show history revert outcome key status drain undrain explain --help --version"
    elif [ "$COMP_CWORD" -eq 2 ] && [ "$previous" = key ]; then
        words="issue rotate withdraw"
    fi
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$current")

    case ${COMP_WORDS[1]} in
    check | diff | apply)
        if [ "$COMP_CWORD" -gt 1 ] && [[ $current != -* ]]; then
            mapfile -t COMPREPLY < <(compgen -f -- "$current")
        fi
        ;;
    esac
    if [[ ${COMPREPLY[0]} == *= ]]; then
        compopt -o nospace
    fi
}

complete -F _limpetctl limpetctl
