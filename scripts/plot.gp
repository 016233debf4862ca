# Draws each measured row as a bar on a logarithmic axis, and its target, if any, as a mark.
# Usage: gnuplot -c plot.gp CSV SVG
set datafile separator ","
rows = int(system("grep -c . ".ARG1)) - 1
set terminal svg noenhanced size 1400, 100 + 22 * rows font "sans,10"
set output ARG2
set title "geraniumpulley measurements; marks are targets"
set style fill solid 0.6
set logscale x
set xlabel "value in the row's unit"
set xrange [0.01:*]
set grid x
unset key
set yrange [-1:rows] reverse
label(row) = stringcolumn(1)." ".stringcolumn(2)." ".stringcolumn(3)." (".stringcolumn(5).")"
drawn(value) = value > 0.01 ? value : 0.01
plot ARG1 every ::1 using (0.01):0:(0.01):(drawn($4)):($0 - 0.3):($0 + 0.3):yticlabels(label(0)) \
       with boxxyerror, \
     ARG1 every ::1 using 6:0 with points pointtype 2 linecolor "black"
