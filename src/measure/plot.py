"""Draws lines over time as SVG."""

COLOURS = {"policy": "#1b6ca8", "baseline": "#c0392b"}
WIDTH, HEIGHT, LEFT, TOP, RIGHT, BOTTOM = 760, 340, 60, 40, 20, 50


def write_plot(file, title, series, trigger, capacity):
    """series: name -> [(seconds, value)]; trigger: (from, to) in seconds; capacity: [(from, to, value)]."""
    end = max(time for points in series.values() for time, _ in points)
    top = 1.15 * max([value for points in series.values() for _, value in points]
                     + [value for _, _, value in capacity])
    x = lambda time: LEFT + time / end * (WIDTH - LEFT - RIGHT)
    y = lambda value: HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM)
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
           'font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
           f'<text x="{LEFT}" y="20" font-size="14">{title}</text>',
           f'<rect x="{x(trigger[0]):.1f}" y="{TOP}" width="{x(trigger[1]) - x(trigger[0]):.1f}" '
           f'height="{HEIGHT - TOP - BOTTOM}" fill="#eeeeee"/>']
    step = tick(top)
    for index in range(int(top / step) + 1):
        value = index * step
        out.append(f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y(value):.1f}" y2="{y(value):.1f}" '
                   'stroke="#dddddd"/>')
        out.append(f'<text x="{LEFT - 6}" y="{y(value) + 4:.1f}" text-anchor="end">{value:g}</text>')
    for time in range(0, int(end) + 1, 5):
        out.append(f'<text x="{x(time):.1f}" y="{HEIGHT - BOTTOM + 18}" text-anchor="middle">{time}</text>')
    out.append(f'<text x="{WIDTH / 2}" y="{HEIGHT - 12}" text-anchor="middle">seconds; whole answers in time per '
               'second; grey: trigger; dashes: capacity</text>')
    for begin, finish, value in capacity:
        out.append(f'<line x1="{x(begin):.1f}" x2="{x(min(finish, end)):.1f}" y1="{y(value):.1f}" y2="{y(value):.1f}" '
                   'stroke="#555555" stroke-dasharray="5 4"/>')
    for place, (name, points) in enumerate(series.items()):
        path = " ".join(f"{x(time):.1f},{y(value):.1f}" for time, value in points)
        out.append(f'<polyline points="{path}" fill="none" stroke="{COLOURS[name]}" stroke-width="1.8"/>')
        out.append(f'<text x="{WIDTH - RIGHT - 150 + 80 * place}" y="20" fill="{COLOURS[name]}">{name}</text>')
    out.append("</svg>")
    file.write_text("\n".join(out) + "\n")


def tick(top):
    step = 1
    while top / step > 8:
        step = step * 2 if str(step)[0] in "15" else step * 5 // 2
    return step
